/* Tests of the parts that daemons have of a server's limit, as they follow
 * from EbMembership, while daemons end and are cut off. */
#ifndef EB_TEST_LIMIT_SHARES_H
#define EB_TEST_LIMIT_SHARES_H

void LimitShares_TestEnded(void);
void LimitShares_TestPowerLoss(void);
void LimitShares_TestPartition(void);
void LimitShares_TestWrongRefusal(void);

#endif
