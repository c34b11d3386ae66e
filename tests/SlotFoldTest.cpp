#include <lacewingsail/Policy.h>
#include <lacewingsail/Wire.h>

#include <doctest/doctest.h>

using namespace lacewingsail;

namespace {

struct SlotFoldFixture {
    SlotFold fold;
    std::int64_t offset = 0;

    static SlotRecord record(SlotRecordKind kind, const char* host, const char* holder, std::vector<SlotBasis> slots)
    {
        return { "id", kind, HostId(host), IncarnationId(holder), 4, std::chrono::milliseconds(1000), 0, std::move(slots) };
    }

    std::size_t changedBy(const SlotRecord& slotRecord) { return apply(fold, slotRecord, offset++).changed.size(); }
};

const SlotIndex slot0 {};
const SlotIndex slot1 { 1 };

} // namespace

TEST_CASE_FIXTURE(SlotFoldFixture, "claim, free slot, is held by the first claimer in log order")
{
    CHECK(changedBy(record(SlotRecordKind::Claim, "a", "a1", { { slot0, -1 } })) == 1);
    CHECK(changedBy(record(SlotRecordKind::Claim, "b", "b1", { { slot0, -1 }, { slot1, -1 } })) == 1);
    CHECK(slotsHeldBy(fold, IncarnationId("a1")) == std::vector { slot0 });
    CHECK(slotsHeldBy(fold, IncarnationId("b1")) == std::vector { slot1 });
}

TEST_CASE_FIXTURE(SlotFoldFixture, "claim, slot renewed after the claimer's read, is rejected")
{
    changedBy(record(SlotRecordKind::Claim, "a", "a1", { { slot0, -1 } }));
    changedBy(record(SlotRecordKind::Renew, "a", "a1", { { slot0, 0 } }));
    CHECK(changedBy(record(SlotRecordKind::Claim, "b", "b1", { { slot0, 0 } })) == 0);
    CHECK(changedBy(record(SlotRecordKind::Claim, "b", "b1", { { slot0, 1 } })) == 1);
}

TEST_CASE_FIXTURE(SlotFoldFixture, "renew, slot lost in the meantime, is rejected")
{
    changedBy(record(SlotRecordKind::Claim, "a", "a1", { { slot0, -1 } }));
    changedBy(record(SlotRecordKind::Claim, "b", "b1", { { slot0, 0 } }));
    CHECK(changedBy(record(SlotRecordKind::Renew, "a", "a1", { { slot0, 0 } })) == 0);
    CHECK(slotsHeldBy(fold, IncarnationId("b1")) == std::vector { slot0 });
}

TEST_CASE_FIXTURE(SlotFoldFixture, "renew, restarted host, counts as another holder")
{
    changedBy(record(SlotRecordKind::Claim, "a", "a1", { { slot0, -1 } }));
    CHECK(changedBy(record(SlotRecordKind::Renew, "a", "a2", { { slot0, 0 } })) == 0);
}

TEST_CASE_FIXTURE(SlotFoldFixture, "release, another host and the holder, frees the slot only for the holder")
{
    changedBy(record(SlotRecordKind::Claim, "a", "a1", { { slot0, -1 } }));
    CHECK(changedBy(record(SlotRecordKind::Release, "b", "b1", { { slot0, 0 } })) == 0);
    CHECK(changedBy(record(SlotRecordKind::Release, "a", "a1", { { slot0, 0 } })) == 1);
    const SlotOutcome again = apply(fold, record(SlotRecordKind::Claim, "b", "b1", { { slot0, 2 } }), offset++);
    CHECK(again.changed.size() == 1);
    CHECK(again.firstHeld.empty());
}

TEST_CASE_FIXTURE(SlotFoldFixture, "fence, slot renewed after the operator's check, is rejected")
{
    changedBy(record(SlotRecordKind::Claim, "a", "a1", { { slot0, -1 }, { slot1, -1 } }));
    changedBy(record(SlotRecordKind::Renew, "a", "a1", { { slot0, 0 } }));
    CHECK(changedBy(record(SlotRecordKind::Fence, "a", "", { { slot0, 0 }, { slot1, 0 } })) == 1);
    CHECK(slotsHeldBy(fold, IncarnationId("a1")) == std::vector { slot0 });
}

TEST_CASE_FIXTURE(SlotFoldFixture, "claim, different number of slots, is rejected")
{
    changedBy(record(SlotRecordKind::Claim, "a", "a1", { { slot0, -1 } }));
    SlotRecord other = record(SlotRecordKind::Claim, "b", "b1", { { slot1, -1 } });
    other.slotCount = 8;
    CHECK(changedBy(other) == 0);
    CHECK(fold.slots.size() == 4);
}

TEST_CASE_FIXTURE(SlotFoldFixture, "claim without a basis, held slot, is valid only after the holder's record expired")
{
    changedBy(record(SlotRecordKind::Claim, "a", "a1", { { slot0, -1 } }));
    SlotRecord late = record(SlotRecordKind::Claim, "b", "b1", { { slot0, -1 } });
    CHECK(changedBy(late) == 0);
    late.readFrom = 1;
    CHECK(changedBy(late) == 1);
}

TEST_CASE_FIXTURE(SlotFoldFixture, "slot record, formatted and parsed, is unchanged")
{
    const SlotRecord claim = record(SlotRecordKind::Claim, "a", "a1", { { slot0, -1 }, { slot1, 7 } });
    Problems problems;
    CHECK(parseSlotRecord(formatSlotRecord(claim), problems) == claim);
    CHECK(problems.empty());
}

TEST_CASE("slot record, malformed, reports the path of each problem")
{
    Problems problems;
    CHECK_FALSE(parseSlotRecord(R"({"id":"x","kind":"take","host":"a","holder":"h","slot_count":0,"lease_ms":1,"read_from":0,"slots":[{"slot":-1,"last":0}]})", problems));
    CHECK(text(problems).find("kind: must be one of") != std::string::npos);
    CHECK(text(problems).find("slots[0].slot: must be") != std::string::npos);
    CHECK(text(problems).find("slot_count: must be") != std::string::npos);
}
