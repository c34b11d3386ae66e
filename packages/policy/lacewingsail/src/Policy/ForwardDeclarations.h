#pragma once

namespace lacewingsail {

class Admission;
class BookingClaims;
class EvidenceSink;
class NotRun;
class SentAttempt;
class UnsentAttempt;
enum class FoldOutcome;
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
struct ConfigurationRecord;
struct ConfigurationTables;
struct FleetSnapshot;
struct KeyTable;
struct RecordedAnswer;
struct RouteTable;
struct TokenBucket;

} // namespace lacewingsail
