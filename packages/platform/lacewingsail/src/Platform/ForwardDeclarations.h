#pragma once

namespace lacewingsail {

class HostList;
class HttpHostList;
class HttpLogService;
class LogService;
struct LogPage;
struct LogRecord;

} // namespace lacewingsail
