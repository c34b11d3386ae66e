#pragma once

namespace lacewingsail {

class Admission;
class EvidenceSink;
class KeyFreshness;
class NotRun;
class SentAttempt;
class UnsentAttempt;
enum class FoldOutcome;
enum class LinkDirection;
struct AttemptEvidence;
struct BackendServerLoad;
struct Candidate;
struct ConfigurationFold;
struct ConfigurationReader;
struct ConfigurationRecord;
struct ConfigurationTables;
struct ExchangeSchedule;
struct FleetSnapshot;
struct KeyTable;
struct Link;
struct DrawDemand;
struct Loan;
struct OwnSlice;
struct Pool;
struct PoolBlock;
struct PoolLoan;
struct RouteTable;
struct TaskRank;
struct HeldSlot;
struct HeldSlots;
struct Slice;
struct SliceBucket;
struct SlotFold;
struct SlotOutcome;
struct SlotState;
struct SlotView;
struct TokenBucket;

} // namespace lacewingsail
