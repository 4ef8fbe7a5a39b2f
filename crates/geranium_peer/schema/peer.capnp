# RPC between entry hosts.
#
# `src/peer_capnp.rs` is generated from this file and committed; see
# docs/design/0003-configuration.md for how to generate it again.

@0xd1a7b3c95e2f4861;

struct HybridTime {
  wall @0 :UInt64;        # microseconds since the Unix epoch
  counter @1 :UInt32;
}

struct MemberInfo {
  host @0 :Text;
  failureDomain @1 :Text;
  incarnation @2 :UInt64;
  peerAddress @3 :Text;
  callerAddress @4 :Text;
  leaving @5 :Bool;
}

struct ConfigStatus {
  digest @0 :UInt64;
  records @1 :UInt32;
  storeAge :union {
    unknown @2 :Void;
    micros @3 :UInt64;
  }
}

struct MemberStatus {
  info @0 :MemberInfo;
  digest @1 :UInt64;
}

enum Temperature {
  cold @0;
  warm @1;
}

struct GroupSummary {
  group @0 :Text;
  record @1 :Text;
  servedModel @2 :Text;
  temperature @3 :Temperature;
  freeSlots @4 :UInt32;
}

struct DomainSummary {
  failureDomain @0 :Text;
  madeAt @1 :UInt64;      # microseconds since the Unix epoch
  members @2 :List(MemberStatus);
  groups @3 :List(GroupSummary);
}

enum EnginePhase {
  idle @0;
  loading @1;
  cold @2;
  warm @3;
}

struct Assignment {
  group @0 :Text;
  fencing @1 :UInt64;
  model @2 :Text;
  version @3 :Text;
  adapters @4 :List(Text);
  rank @5 :UInt32;
}

struct EngineReport {
  host @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  fencing @3 :UInt64;
  assignment @4 :Assignment;  # null if nothing is assigned
  phase @5 :EnginePhase;
  leaving @6 :Bool;
  running @7 :UInt32;
  waiting @8 :UInt32;
  kvFreeTokens @9 :UInt64;
}

struct SharedReport {
  report @0 :EngineReport;
  silent @1 :Bool;
}

struct CrashId {
  group @0 :Text;
  generation @1 :UInt64;
}

struct CrashCharge {
  crash @0 :CrashId;
  cleared @1 :Bool;
}

struct SuspicionEntry {
  fingerprint @0 :Data;   # 16 bytes
  crashes @1 :List(CrashCharge);
  changedAt @2 :UInt64;   # microseconds since the Unix epoch
}

struct ExplainedCrash {
  crash @0 :CrashId;
  cause @1 :Data;         # 16 bytes
  at @2 :UInt64;          # microseconds since the Unix epoch
}

struct CrashDigest {
  entries @0 :List(SuspicionEntry);
  explained @1 :List(ExplainedCrash);
}

struct SharedDelta {
  after @0 :UInt64;
  through @1 :UInt64;
  reports @2 :List(SharedReport);
  domains @3 :List(DomainSummary);
  crashes @4 :CrashDigest;
}

struct Heartbeat {
  sender @0 :MemberInfo;
  time @1 :HybridTime;
  config @2 :ConfigStatus;
  rosterDigest @3 :UInt64;
  roster @4 :List(MemberInfo);
  ackedIncarnation @5 :UInt64;
  acked @6 :UInt64;
  delta @7 :SharedDelta;
  sentAt @8 :UInt64;      # microseconds on the sender's clock
  echo @9 :UInt64;        # microseconds on the receiver's clock
}

struct RecordVersion {
  key @0 :Text;           # KIND/NAME
  generation @1 :UInt64;
  writtenAt @2 :UInt64;   # microseconds since the Unix epoch
  incarnation @3 :UInt64;
  sequence @4 :UInt64;
}

struct Record {
  key @0 :Text;           # key in the platform's store
  value @1 :Data;         # value as in the platform's store
}

struct PullAnswer {
  records @0 :List(Record);
  wanted @1 :List(Text);
  hasMore @2 :Bool;
}

# The first object of a connection; everything else needs the token.
interface Gate {
  open @0 (token :Data) -> (host :EntryHost);
}

interface EntryHost {
  heartbeat @0 (heartbeat :Heartbeat) -> (answer :Heartbeat);
  pullRecords @1 (caller :MemberInfo, held :List(RecordVersion)) -> (answer :PullAnswer);
  pushRecords @2 (caller :MemberInfo, records :List(Record));
  inForce @3 (keys :List(Text)) -> (versions :List(RecordVersion));
  # JSON of a command and of its reply: values that are JSON in the platform's
  # store or that change with the decisions, not with this protocol.
  command @4 (command :Data) -> (reply :Data);
}
