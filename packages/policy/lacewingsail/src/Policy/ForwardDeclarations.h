#pragma once

namespace lacewingsail {

class Admission;
class EvidenceSink;
class NotRun;
class SentAttempt;
class UnsentAttempt;
enum class FoldOutcome;
struct AttemptEvidence;
struct BackendServerLoad;
struct Candidate;
struct ConfigurationFold;
struct ConfigurationRecord;
struct ConfigurationTables;
struct FleetSnapshot;
struct KeyTable;
struct RouteTable;
struct TokenBucket;

} // namespace lacewingsail
