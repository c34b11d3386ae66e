#pragma once

namespace lacewingsail {

class FleetMembership;
struct LinkView;

} // namespace lacewingsail
