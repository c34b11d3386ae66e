#pragma once

namespace lacewingsail {

class ActiveConfiguration;
class RecordLog;
class ServerRegistry;
class StoreFollower;

struct KeyedRecord;
struct LogReading;

} // namespace lacewingsail
