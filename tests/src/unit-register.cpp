#include <flaxtiller/register/register_state.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;

namespace
{

constexpr std::int64_t start_ms = 1700000000000;

register_command begin(const std::string& key, const std::string& asker, std::int64_t now = start_ms)
{
    register_command command;
    command.action = register_action::begin;
    command.key = request_key(key);
    command.digest = 11;
    command.key_time_ms = start_ms;
    command.asker = asker;
    command.now_ms = now;
    return command;
}

register_command finish(const std::string& key, const std::string& asker, outcome result)
{
    register_command command = begin(key, asker);
    command.action = register_action::finish;
    command.outcome = result;
    command.answer = "paid";
    return command;
}

} // namespace

TEST_CASE("the register grants a request that may not be repeated to one requester", "[register]")
{
    register_state state;
    REQUIRE(state.apply(begin("refund", "e1")).status == register_status::granted);

    SECTION("no other requester may run the request while its outcome is not recorded")
    {
        CHECK(state.apply(begin("refund", "e2")).status == register_status::in_progress);
    }

    SECTION("a repeated begin of the same requester is granted again")
    {
        CHECK(state.apply(begin("refund", "e1")).status == register_status::granted);
    }

    SECTION("after the run every requester receives the recorded answer")
    {
        (void)state.apply(finish("refund", "e1", outcome::run));
        const register_reply again = state.apply(begin("refund", "e2"));
        CHECK(again.status == register_status::done);
        CHECK(again.answer == "paid");
    }

    SECTION("a request with an unknown outcome is never granted again")
    {
        (void)state.apply(finish("refund", "e1", outcome::unknown));
        CHECK(state.apply(begin("refund", "e2")).status == register_status::unknown);
        CHECK(state.apply(begin("refund", "e1")).status == register_status::unknown);
    }

    SECTION("a request that was not run is granted again")
    {
        (void)state.apply(finish("refund", "e1", outcome::not_run));
        CHECK(state.apply(begin("refund", "e2")).status == register_status::granted);
        CHECK(state.apply(begin("refund", "e3")).status == register_status::in_progress);
        // A late outcome of the first requester has no effect.
        (void)state.apply(finish("refund", "e1", outcome::not_run));
        CHECK(state.apply(begin("refund", "e3")).status == register_status::in_progress);
    }

    SECTION("a key is refused for a request with another digest")
    {
        register_command other = begin("refund", "e2");
        other.digest = 12;
        CHECK(state.apply(other).status == register_status::key_reused);
    }

    SECTION("keys are removed after the retention time and refused afterwards")
    {
        const std::int64_t later = start_ms + register_state::retention_ms + 1;
        CHECK(state.apply(begin("refund", "e2", later)).status == register_status::key_expired);
        CHECK(state.size() == 0);
        // The key is also refused if the clock of the next leader is slow.
        CHECK(state.apply(begin("refund", "e2", start_ms)).status == register_status::key_expired);
    }

    SECTION("a key with a time in the future is refused, since it would be kept too long")
    {
        register_command future = begin("other", "e1");
        future.key_time_ms = start_ms + register_state::max_ahead_ms + 1;
        CHECK(state.apply(future).status == register_status::key_expired);
    }

    SECTION("a snapshot holds the complete state")
    {
        (void)state.apply(finish("refund", "e1", outcome::run));
        register_state restored = register_state::deserialize(state.serialize());
        CHECK(restored == state);
        CHECK(restored.apply(begin("refund", "e2")).status == register_status::done);
    }
}
