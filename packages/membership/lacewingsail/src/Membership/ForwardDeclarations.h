#pragma once

namespace lacewingsail {

class FleetMembership;

} // namespace lacewingsail
