#pragma once

namespace lacewingsail {

class GatewayHost;
struct GatewayParts;
struct HeaderNames;

} // namespace lacewingsail
