// Records on the platform's log and messages between gateways.
// Fields are versioned by number: never reuse or renumber one.

namespace py wire

struct Accept {
  1: string key, 2: string submission, 3: string owner, 4: string account,
  5: string profile, 6: binary body, 7: double written_at
}
struct Dispatch {
  1: string key, 2: string submission, 3: string owner, 4: i32 epoch,
  5: double written_at
}
struct Takeover {
  1: string key, 2: string submission, 3: string owner, 4: i32 epoch,
  5: double written_at
}
struct Refuse {
  1: string key, 2: string submission, 3: i32 code, 4: double written_at
}
struct Outcome {
  1: string key, 2: string submission, 3: i32 epoch, 4: i32 code,
  5: binary body, 6: double written_at
}
struct Restate {
  1: string key, 2: string submission, 3: string owner, 4: i32 epoch,
  5: bool dispatched, 6: string account, 7: string profile, 8: binary body,
  9: i64 as_of, 10: double written_at
}
struct ProfileChange {
  1: string change_id, 2: string name, 3: i64 base_version, 4: string spec,
  5: string operator, 6: double written_at
}
struct ProfileEntry {
  1: string name, 2: i64 version, 3: string spec, 4: string change_id
}
struct ProfileSnapshot {
  1: list<ProfileEntry> entries, 2: i64 as_of, 3: double written_at
}
struct LeaseClaim {
  1: string name, 2: string holder, 3: i64 replaces, 4: double written_at,
  5: optional i64 era, 6: optional i64 generation
}
struct LeaseRenew {
  1: string name, 2: string holder, 3: i64 fence, 4: double written_at,
  5: optional i64 era, 6: optional i64 generation
}
struct Mark { 1: i64 as_of, 2: double horizon, 3: double written_at }
struct AccountCount { 1: string account, 2: i64 window, 3: i32 count }
struct UsageReport {
  1: i64 fence, 2: i64 window, 3: list<AccountCount> counts,
  4: double written_at
}
struct RolloutStep {
  1: i64 fence, 2: string backend, 3: string target, 4: i64 order,
  5: i32 number, 6: i32 stage, 7: list<string> routes, 8: list<double> shares,
  9: double elapsed, 10: string reason, 11: double written_at
}
struct Record {
  1: string record_id,
  2: optional Accept accept, 3: optional Dispatch dispatch,
  4: optional Takeover takeover, 5: optional Refuse refuse,
  6: optional Outcome outcome, 7: optional Restate restate,
  8: optional ProfileChange profile_change,
  9: optional ProfileSnapshot profile_snapshot,
  10: optional LeaseClaim lease_claim, 11: optional LeaseRenew lease_renew,
  12: optional Mark mark, 13: optional UsageReport usage_report,
  14: optional RolloutStep rollout_step
}

struct HostNotice { 1: string host, 2: double seconds_left }
struct Heartbeat {
  1: string identity, 2: string host, 3: string zone, 4: i32 state,
  5: string caller_address, 6: string peer_address,
  7: map<string, i64> applied, 8: list<HostNotice> notices, 9: i32 in_flight
}
struct Parting { 1: i32 epoch, 2: string owner, 3: i32 offset }
struct Hold {
  1: string request_id, 2: i32 epoch, 3: string owner,
  4: list<Parting> lineage, 5: string account, 6: string profile,
  7: binary body, 8: list<i32> tokens, 9: double deadline_s,
  10: string engine, 11: string attempt_id
}
struct HoldAck {
  1: string request_id, 2: i32 epoch, 3: string owner, 4: i32 length,
  5: bool finished
}
struct Extend {
  1: string request_id, 2: i32 epoch, 3: string owner, 4: i32 offset,
  5: list<i32> tokens, 6: string engine, 7: string attempt_id
}
struct Finish {
  1: string request_id, 2: i32 epoch, 3: string owner, 4: i32 code,
  5: i32 length
}
struct Handover { 1: string request_id, 2: i32 epoch, 3: string owner }
struct Stop { 1: string request_id, 2: i32 epoch, 3: string owner }
struct Drop { 1: string request_id, 2: i32 epoch, 3: string owner }
struct ClaimHandover { 1: string key, 2: string submission, 3: i32 epoch }
struct Find { 1: string request_id }
struct Found { 1: string request_id, 2: string caller_address }
struct NewsRequest { 1: string stream, 2: i64 first_offset }
struct NewsRecord { 1: i64 offset, 2: binary data }
struct News { 1: string stream, 2: list<NewsRecord> records }
struct AccountDemand {
  1: string account, 2: double rate, 3: double spent
}
struct UsageCount { 1: string account, 2: i64 window, 3: i32 count }
struct EngineLoad {
  1: string engine, 2: i32 running, 3: i32 unread_tokens,
  4: optional i32 speed_weight, 5: optional i32 speed_total
}
struct ServiceLoad {
  1: string backend, 2: double tokens_rate, 3: i32 running,
  4: optional double recent_rate
}
struct EngineEntry {
  1: string engine, 2: string backend, 3: string address, 4: string zone,
  5: i32 slots, 6: bool leaving, 7: double leaves_s, 8: bool spot,
  9: i64 born, 10: bool gone, 11: i64 offset, 12: optional i64 sequence,
  13: optional string version
}
struct Beat {
  1: string identity, 2: string host, 3: string zone,
  4: string caller_address, 5: string peer_address, 6: bool ready,
  7: bool leaving, 8: double true_time, 9: i64 version,
  10: double config_age, 11: i64 fleet_end, 12: double fleet_age,
  13: i64 lease_fence, 14: list<string> peers,
  15: list<AccountDemand> demands, 16: list<UsageCount> usage,
  17: list<EngineLoad> engines, 18: list<ServiceLoad> services,
  19: list<EngineEntry> entries, 20: binary document,
  21: i64 lease_offset, 22: double lease_age, 23: i64 entries_from,
  24: optional i64 number, 25: optional i64 heard_number,
  26: optional bool groups, 27: optional i64 store_era,
  28: optional i64 lease_era
}
struct HostFact {
  1: string host, 2: string identity, 3: string zone,
  4: string caller_address, 5: string peer_address, 6: bool ready,
  7: bool leaving
}
struct LoadSums {
  1: list<string> engines, 2: list<i32> running, 3: list<i64> unread_tokens,
  4: list<string> accounts, 5: list<double> rates, 6: list<double> spent,
  7: list<string> services, 8: list<double> token_rates,
  9: list<i32> service_running, 10: optional list<i32> speed_weights,
  11: optional list<i32> speed_totals, 12: optional list<double> recent_rates
}
struct Progress {
  1: i64 version, 2: double config_age, 3: i64 fleet_end,
  4: double fleet_age, 5: i64 fleet_change, 6: i64 fleet_complete_from,
  7: optional i64 store_era
}
struct LeaseFact {
  1: string holder, 2: i64 fence, 3: i64 offset, 4: double age,
  5: optional i64 era
}
struct Report {
  1: HostFact fact, 2: i64 number, 3: LoadSums loads, 4: Progress progress,
  5: list<LeaseFact> leases, 6: double true_time, 7: bool wants_view,
  8: string heard, 9: i64 heard_number, 10: optional list<UsageCount> usage
}
struct Digest {
  1: string group, 2: string publisher, 3: i64 number, 4: i64 roster,
  5: list<HostFact> hosts, 6: list<i64> numbers, 7: list<double> ages,
  8: LoadSums loads, 9: Progress progress, 10: list<LeaseFact> leases,
  11: double true_time, 12: list<string> heard, 13: list<i64> heard_numbers
}
struct View {
  1: string host, 2: list<binary> digests, 3: list<double> ages,
  4: list<HostFact> hosts
}
struct Changes {
  1: string host, 2: i64 entries_from, 3: i64 fleet_end,
  4: list<EngineEntry> entries, 5: binary document
}
struct ProcessUsage {
  1: string identity, 2: list<UsageCount> usage, 3: optional double until
}
struct UsageCounts {
  1: string identity, 2: list<UsageCount> usage, 3: optional double until,
  4: optional list<ProcessUsage> ended
}
struct EndedEngine {
  1: string engine, 2: string backend, 3: double age
}
struct SoundAnswer { 1: string backend, 2: double age }
struct SuspectPart {
  1: string part, 2: list<EndedEngine> ends, 3: list<SoundAnswer> sound
}
struct NamedLimit { 1: string engine, 2: double rate, 3: double age }
struct Findings {
  1: string host, 2: list<SuspectPart> parts, 3: list<NamedLimit> limits,
  4: optional list<SuspectPart> requests, 5: optional list<string> departures
}
struct StreamGroup { 1: string backend, 2: string version, 3: binary digests }
struct StreamBatch { 1: string host, 2: list<StreamGroup> groups }
struct RolloutDecisions {
  1: string host, 2: string identity, 3: list<RolloutStep> steps,
  4: list<double> ages, 5: i64 heard_number
}
struct RolloutTally {
  1: string route, 2: bool target, 3: i32 sent, 4: i32 finished,
  5: i32 failed, 6: i32 running, 7: list<i32> latencies
}
struct RolloutCount {
  1: string backend, 2: i64 order, 3: i32 number, 4: i32 stage,
  5: double age, 6: list<RolloutTally> tallies
}
struct RolloutCounts {
  1: HostFact fact, 2: i64 number, 3: i32 hosts, 4: string group,
  5: list<RolloutCount> counts
}
struct PeerMessage {
  1: optional Heartbeat heartbeat, 2: optional Hold hold,
  3: optional HoldAck hold_ack, 4: optional Extend extend,
  5: optional Finish finish, 6: optional Handover handover,
  7: optional Stop stop, 8: optional ClaimHandover claim_handover,
  9: optional NewsRequest news_request, 10: optional News news,
  11: optional Drop drop, 12: optional Find find, 13: optional Found found,
  14: optional HostNotice host_notice, 15: optional Beat beat,
  16: optional Report report, 17: optional View view,
  18: optional Changes changes, 19: optional UsageCounts usage_counts,
  20: optional Findings findings, 21: optional RolloutDecisions rollout_decisions,
  22: optional RolloutCounts rollout_counts
}
service Peer {
  void deliver(1: string sender, 2: list<PeerMessage> messages)
}
