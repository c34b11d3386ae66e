#pragma once

namespace lacewingsail {

class Admission;
class BookingClaims;
class EvidenceSink;
class KeyFreshness;
class NotRun;
class SentAttempt;
class UnsentAttempt;
enum class FoldOutcome;
enum class LinkDirection;
enum class BookingResult : unsigned char;
enum class ClaimVerdict : unsigned char;
struct AttemptEvidence;
struct BackendServerLoad;
struct Booking;
struct BookingClaim;
struct BookingFold;
struct BookingOutcome;
struct Candidate;
struct ClaimDecision;
struct ConfigurationFold;
struct ConfigurationReader;
struct ConfigurationRecord;
struct ConfigurationTables;
struct ExchangeSchedule;
struct FleetSnapshot;
struct KeyTable;
struct Link;
struct RecordedAnswer;
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
