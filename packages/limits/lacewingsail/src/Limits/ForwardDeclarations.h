#pragma once

namespace lacewingsail {

class EvenSplit;
class LimitLedgers;
class PooledAdmission;
class SlotClaims;
class SlotLeaseManager;
struct AccountLedger;
struct BlockGrant;
struct BlockRequest;
struct LoanOffer;
struct SlotTerms;

} // namespace lacewingsail
