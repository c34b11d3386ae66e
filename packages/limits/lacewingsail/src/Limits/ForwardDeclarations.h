#pragma once

namespace lacewingsail {

class EvenSplit;

} // namespace lacewingsail
