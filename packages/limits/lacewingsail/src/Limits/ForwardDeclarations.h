#pragma once

namespace lacewingsail {

class EvenSplit;
class LimitLedgers;
class PooledAdmission;
class SlotClaims;
class SlotKeeper;
struct AccountLedger;
struct BlockGrant;
struct DrawWish;
struct LoanOffer;
struct SlotTerms;

} // namespace lacewingsail
