/* Defaults of option structs. */
#ifndef EB_OPTIONS_H
#define EB_OPTIONS_H

/* Replaces the zero value of a member, which stands for its default. */
#define EB_SET_DEFAULT(field, value)                                          \
    do {                                                                      \
        if ((field) == 0) {                                                   \
            (field) = (value);                                                \
        }                                                                     \
    } while (0)

#endif
