#pragma once

namespace lacewingsail {

class EvenSplit;
class SlotClaims;
class SlotKeeper;
struct SlotTerms;

} // namespace lacewingsail
