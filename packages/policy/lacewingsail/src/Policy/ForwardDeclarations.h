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
struct OutlierAssessment;
struct KeyTable;
struct Link;
struct PeerEvidence;
struct PlannedStop;
struct RecordedResponse;
struct BlockDemand;
struct LentSlice;
struct LocalSlice;
struct LoanPool;
struct TokenBlock;
struct BorrowedSlice;
struct Recovery;
struct RetryBudget;
struct RouteTable;
struct ServerCondition;
struct ServiceAttemptLimits;
struct TaskRank;
struct HeldSlot;
struct HeldSlots;
struct Slice;
struct SliceBucket;
struct SlotFold;
struct SlotOutcome;
struct SlotState;
struct SlotView;
struct HostEvidence;
struct TokenBucket;
struct DecayingLatencyHistogram;

} // namespace lacewingsail
