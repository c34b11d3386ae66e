#pragma once

namespace lacewingsail {

class ActiveConfiguration;
class Evacuations;
class RecordStore;
class ServerRegistry;
class StoreFollower;

struct KeyedRecord;
struct StoreAppendResult;
struct StoreReadResult;
struct ZoneEvacuation;

} // namespace lacewingsail
