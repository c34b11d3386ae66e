#pragma once

namespace lacewingsail {

class ActiveConfiguration;
class RecordStore;
class ServerRegistry;
class StoreFollower;

struct KeyedRecord;
struct StoreAppendResult;
struct StoreReadResult;

} // namespace lacewingsail
