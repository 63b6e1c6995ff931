#include "lovagecross/testing/InMemoryObjectStore.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

class InMemoryObjectStoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(InMemoryObjectStoreTest);
    CPPUNIT_TEST(writesAreConditional);
    CPPUNIT_TEST(faultsHaveTheirEffect);
    CPPUNIT_TEST(hookSeesEachCallAndMayCallTheStore);
    CPPUNIT_TEST(watchReturnsNewerVersions);
    CPPUNIT_TEST_SUITE_END();

    // An unconditional write would hide races of the code under test.
    void writesAreConditional()
    {
        InMemoryObjectStore store;
        std::uint64_t first = store.create("a/1", "x").object.version;
        CPPUNIT_ASSERT(store.create("a/1", "y").status == StoreStatus::Conflict);
        StoreResult updated = store.update("a/1", "y", first);
        CPPUNIT_ASSERT(updated.ok() && updated.object.version > first);
        CPPUNIT_ASSERT(store.update("a/1", "z", first).status == StoreStatus::Conflict);
        CPPUNIT_ASSERT(store.update("a/2", "z", first).status == StoreStatus::NotFound);
        CPPUNIT_ASSERT(store.remove("a/1", first).status == StoreStatus::Conflict);
        CPPUNIT_ASSERT(store.create("b", std::string(maxObjectBytes + 1, 'x')).status == StoreStatus::TooLarge);
        store.create("a/0", "w");
        ListResult listed = store.list("a/", true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), listed.objects.size());
        CPPUNIT_ASSERT(listed.objects[0].key == "a/0" && listed.objects[1].value == "y");
        CPPUNIT_ASSERT(store.remove("a/1", 0).ok());
        CPPUNIT_ASSERT(store.create("a/1", "x").object.version > updated.object.version);
    }

    // LostAfter must take effect and the others must not.
    void faultsHaveTheirEffect()
    {
        struct Row {
            StoreFault fault;
            StoreStatus status;
            bool exists;
        };
        for (Row row : { Row { StoreFault::None, StoreStatus::Ok, true },
                 Row { StoreFault::Unavailable, StoreStatus::Unavailable, false },
                 Row { StoreFault::RateLimited, StoreStatus::RateLimited, false },
                 Row { StoreFault::LostBefore, StoreStatus::Unknown, false },
                 Row { StoreFault::LostAfter, StoreStatus::Unknown, true } }) {
            InMemoryObjectStore store;
            store.failNext(row.fault);
            CPPUNIT_ASSERT(store.create("a", "1").status == row.status);
            CPPUNIT_ASSERT_EQUAL(row.exists, store.get("a").ok());
            store.setUnavailable(true);
            CPPUNIT_ASSERT(store.get("a").status == StoreStatus::Unavailable);
            CPPUNIT_ASSERT(store.counters().reads == 2 && store.counters().writes == 1);
        }
    }

    // Interleaving tests act as another node from inside the hook; that must neither deadlock nor recurse.
    void hookSeesEachCallAndMayCallTheStore()
    {
        InMemoryObjectStore store;
        store.setHook([&](const StoreCall& call) {
            if (call.operation == StoreOperation::Create && call.number == 2)
                store.create(call.key, "other");
            return StoreFault::None;
        });
        CPPUNIT_ASSERT(store.create("a", "own").ok());
        CPPUNIT_ASSERT(store.create("b", "own").status == StoreStatus::Conflict);
        CPPUNIT_ASSERT(store.get("b").object.value == "other");
    }

    // A watch that misses an older change would delay a configuration.
    void watchReturnsNewerVersions()
    {
        InMemoryObjectStore store;
        std::uint64_t version = store.create("a", "1").object.version;
        CPPUNIT_ASSERT(store.watch("a", version, Duration(0)).status == StoreStatus::NotFound);
        CPPUNIT_ASSERT(store.watch("a", version - 1, Duration(0)).object.value == "1");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InMemoryObjectStoreTest);

} // namespace lovagecross
