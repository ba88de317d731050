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

register_command finish(const std::string& key, const std::string& asker, outcome became)
{
    register_command command = begin(key, asker);
    command.action = register_action::finish;
    command.outcome = became;
    command.answer = "paid";
    return command;
}

} // namespace

TEST_CASE("the register of requests that may not be repeated", "[register]")
{
    register_state state;
    REQUIRE(state.apply(begin("refund", "e1")).status == register_status::granted);

    SECTION("while it isn't known what became of it, nobody else may run it")
    {
        CHECK(state.apply(begin("refund", "e2")).status == register_status::in_progress);
    }

    SECTION("the same asker's begin, sent again to another leader, is its own grant")
    {
        CHECK(state.apply(begin("refund", "e1")).status == register_status::granted);
    }

    SECTION("once run, everyone gets the recorded answer")
    {
        (void)state.apply(finish("refund", "e1", outcome::run));
        const register_reply again = state.apply(begin("refund", "e2"));
        CHECK(again.status == register_status::done);
        CHECK(again.answer == "paid");
    }

    SECTION("once unknown, never again")
    {
        (void)state.apply(finish("refund", "e1", outcome::unknown));
        CHECK(state.apply(begin("refund", "e2")).status == register_status::unknown);
        CHECK(state.apply(begin("refund", "e1")).status == register_status::unknown);
    }

    SECTION("proved not run, it may be granted once more")
    {
        (void)state.apply(finish("refund", "e1", outcome::not_run));
        CHECK(state.apply(begin("refund", "e2")).status == register_status::granted);
        CHECK(state.apply(begin("refund", "e3")).status == register_status::in_progress);
        // The first asker's late word on its own run changes nothing.
        (void)state.apply(finish("refund", "e1", outcome::not_run));
        CHECK(state.apply(begin("refund", "e3")).status == register_status::in_progress);
    }

    SECTION("the same key with another body is refused")
    {
        register_command other = begin("refund", "e2");
        other.digest = 12;
        CHECK(state.apply(other).status == register_status::key_reused);
    }

    SECTION("keys are forgotten after a stated time, and refused from then on")
    {
        const std::int64_t later = start_ms + register_state::retention_ms + 1;
        CHECK(state.apply(begin("refund", "e2", later)).status == register_status::key_expired);
        CHECK(state.size() == 0);
        // Also if the next leader's clock is behind.
        CHECK(state.apply(begin("refund", "e2", start_ms)).status == register_status::key_expired);
    }

    SECTION("a key from the future is refused, since it would be kept too long")
    {
        register_command early = begin("other", "e1");
        early.key_time_ms = start_ms + register_state::most_ahead_ms + 1;
        CHECK(state.apply(early).status == register_status::key_expired);
    }

    SECTION("a snapshot keeps all of it")
    {
        (void)state.apply(finish("refund", "e1", outcome::run));
        register_state restored = register_state::deserialize(state.serialize());
        CHECK(restored == state);
        CHECK(restored.apply(begin("refund", "e2")).status == register_status::done);
    }
}
