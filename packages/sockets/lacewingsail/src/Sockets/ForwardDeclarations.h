#pragma once

namespace lacewingsail {

class Listener;

} // namespace lacewingsail
