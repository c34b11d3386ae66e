#pragma once

namespace lacewingsail {

class HttpCalls;
class HttpClient;
class HttpServer;
struct HttpField;
struct HttpRequest;
struct HttpResponse;

} // namespace lacewingsail
