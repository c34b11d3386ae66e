#pragma once

#include <cstdint>

namespace lacewingsail {

class Admission;
class BookingClaims;
class EvidenceSink;
class KeyFreshness;
class NotRun;
class SentAttempt;
class UnsentAttempt;
enum class Capacity : std::int64_t;
enum class EjectionRule : unsigned char;
enum class EvidenceClass : unsigned char;
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
struct EjectionOutcome;
struct EvidenceCounts;
struct ExchangeSchedule;
struct FleetSnapshot;
struct FleetStandings;
struct Judgement;
struct KeyTable;
struct Link;
struct PeerDigest;
struct RecordedAnswer;
struct DrawDemand;
struct Loan;
struct OwnSlice;
struct Pool;
struct PoolBlock;
struct PoolLoan;
struct Recovery;
struct RetryBudget;
struct RouteTable;
struct ServerCondition;
struct ServiceTiming;
struct TaskRank;
struct HeldSlot;
struct HeldSlots;
struct Slice;
struct SliceBucket;
struct SlotFold;
struct SlotOutcome;
struct SlotState;
struct SlotView;
struct Testimony;
struct TokenBucket;
struct UsualLatency;

} // namespace lacewingsail
