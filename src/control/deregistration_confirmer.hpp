#pragma once

#include "links/peer_links.hpp"
#include "registration_file.hpp"

#include <flaxtiller/registration/deregistration_confirmations.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace flaxtiller::shell
{

/// @brief Has deregistrations saved by the control replicas, and confirms them to the backend servers.
///
/// A replica that receives a deregistration sends it to the other voters with a number. Each answers with
/// this number once its own file is synced. Not thread-safe.
class deregistration_confirmer
{
  public:
    /// Called with whether a deregistration is confirmed.
    using confirmation = std::function<void(bool)>;

    /// @param self the name of this replica
    /// @param file the file that keeps registrations for the next start of this process
    deregistration_confirmer(peer_links& links, registration_file& file, std::string self);

    /// @brief Begins to confirm a deregistration that this replica received, and that was queued for the
    /// file.
    /// @param known the registration as it is known now
    /// @param members the members of the replicated log, a majority of which must save the deregistration
    /// @param done called once it is known whether the deregistration is confirmed
    void begin(const registration& known, const quorum::member_set& members, confirmation done,
               time_point now);

    /// @brief Handles that a replica asks for an acknowledgement once its deregistration, which was queued
    /// for the file, is synced to the disk of this replica.
    void on_request(const std::string& from, deregistration_number number, time_point now);

    /// @brief Handles that queued registrations were saved to the file.
    void on_saved(time_point now);

    /// @brief Handles that another replica has saved deregistrations of this one.
    void on_saved_elsewhere(const std::string& replica, const std::vector<deregistration_number>& numbers,
                            time_point now);

    /// @brief Handles the loss of the link to a peer.
    void on_lost(const std::string& peer, time_point now);

    /// @brief Ends the waits that can be decided.
    void tick(time_point now);

  private:
    /// A replica, this one or another, that awaits the acknowledgement of a sync to disk.
    struct save_request
    {
        std::string from;
        deregistration_number number = 0;
        /// The number of queued changes that must be on disk; see registration_file::append.
        std::uint64_t queued = 0;
    };

    peer_links& m_links;
    registration_file& m_file;
    const std::string m_self;
    deregistration_confirmations m_confirmations;
    std::map<deregistration_number, confirmation> m_undecided;
    std::vector<save_request> m_save_requests;
};

} // namespace flaxtiller::shell
