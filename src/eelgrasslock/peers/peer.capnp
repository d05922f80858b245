@0xb27c1f60d5a94e83;
# RPC between the daemons of one fleet.

struct Field {
  name @0 :Text;
  value @1 :Text;
}

struct Request {
  id @0 :Text;
  method @1 :Text;
  path @2 :Text;
  query @3 :Text;
  headers @4 :List(Field);
  body @5 :Data;
  forwardedBy @6 :Text;
  trace @7 :List(Field);
}

struct Beat {
  configVersion @0 :UInt32;
  membersOffset @1 :Int64;
  retired @2 :Bool;          # the receiver is retired in the sender's table
  waiting @3 :UInt32;
  names @4 :Text;            # endpoints that get a number with this message, one a line
  counts @5 :List(UInt32);   # changed counts: the endpoint's number, then 16 bits of calls in flight
  marked @6 :Bool;           # whether the two lists below are set; else they are unchanged
  digests @7 :List(Text);
  breakers @8 :List(Text);
}

struct StreamOrigin {
  key @0 :UInt64;        # hash of the id of the request that brought the stream's first event
  service @1 :Text;
  version @2 :Text;      # of the software of the endpoint that began it
  seconds @3 :Float32;   # for how long the stream may still be resumed
}

struct TurnPlace {
  key @0 :UInt64;        # hash of the turn's id
  offset @1 :Int64;      # of its first record in the partition of its key
  size @2 :UInt32;       # bytes of its records
  holder @3 :Text;       # incarnation of a daemon that has it in memory
  seconds @4 :Float64;   # since it was stored
}

struct FetchedTurn {
  records @0 :List(Data);  # as in the log
  offset @1 :Int64;
  size @2 :UInt32;
  storedAt @3 :Float64;    # seconds since the epoch
}

struct UnrecordedDraw {
  program @0 :Text;
  budget @1 :Int64;
  tokens @2 :Int64;      # spent without the log, and not in it yet
}

struct OfflineDraw {
  holder @0 :Text;       # the incarnation that drew
  sequence @1 :Int64;    # of several words of a holder, the largest counts
  tokens @2 :Int64;      # all that it drew without the log
  recorded @3 :Int64;    # those of them that the log holds
}

struct KeptProgram {
  program @0 :Text;
  isClosed @1 :Bool;     # it gets no more without the log
  draws @2 :List(OfflineDraw);
}

enum Outcome {
  done @0;
  moved @1;        # the partition has another end, or holds only records from `end` on
  unavailable @2;  # nothing was done
  unresolved @3;   # it may have taken effect, or may do so later
}

interface Gate {
  hello @0 (nonce :Data, incarnation :Text) -> (nonce :Data, incarnation :Text, proofs :List(Data));
  login @1 (proof :Data) -> (peer :Peer);
}

interface Sink {
  start @0 (status :UInt16, headers :List(Field)) -> ();
  write @1 (chunk :Data) -> ();
  finish @2 () -> ();
}

interface Peer {
  ping @0 () -> ();
  heartbeat @1 (beat :Beat) -> (beat :Beat);
  forward @2 (request :Request, sink :Sink) -> ();
  disown @3 (id :Text) -> (started :Bool);  # afterwards, a request that has not started never starts
  hold @4 (stream :Text, records :Data) -> ();
  held @5 (stream :Text) -> (records :Data);
  config @6 () -> (data :Data);
  members @7 () -> (data :Data);
  reach @8 (incarnation :Text) -> (reached :Bool);
  appendAt @9 (topic :Text, partition :UInt32, records :List(Data), expectedEnd :Int64) -> (outcome :Outcome, end :Int64);
  readFrom @10 (topic :Text, partition :UInt32, offset :Int64, maxKilobytes :UInt32) -> (outcome :Outcome, records :List(Data), offset :Int64, end :Int64);
  offline @12 (program :Text) -> (spent :Int64, drawn :Int64, fullHistory :Bool);  # spent without the log; drawn in all, as far as the receiver knows; whether it has run as long as any program
  grantRequests @13 (endpoint :Text, asker :Text, count :UInt32, urgency :UInt8, limited :Bool, perSecond :Float64, age :Float64) -> (isOwner :Bool, count :UInt32, waitSeconds :Float64, askers :UInt32, limited :Bool, perSecond :Float64, age :Float64);  # tokens for requests to an endpoint that names a limit; each side tells the limit that it knows and for how many seconds
  tellStreams @14 (streams :List(StreamOrigin)) -> ();
  findStream @15 (key :UInt64, service :Text) -> (service :Text, version :Text, onlyVersion :Text);  # empty where the receiver does not know it; onlyVersion if no stream of the service can have begun at another
  tellTurns @16 (turns :List(TurnPlace)) -> ();
  findTurn @17 (key :UInt64, readsLog :Bool) -> (isKnown :Bool, isAbsent :Bool, offset :Int64, size :UInt32, holder :Text, seconds :Float64);  # readsLog: read the turn's partition if it is not known; isAbsent: the partition was read to its end and has no such turn
  fetchTurns @18 (ids :List(Text)) -> (turns :List(FetchedTurn));  # those that are in memory
  adoptDraws @19 (draws :List(UnrecordedDraw)) -> ();  # the receiver records them, as the sender stops
  keepDraw @20 (program :Text, holder :Text, sequence :Int64, tokens :Int64, recorded :Int64, closes :Bool) -> (counts :Bool, known :KeptProgram, keepers :UInt16);  # counts: the receiver is a keeper of the program that knows all that it may have kept; keepers: how many the receiver takes the program to have; without a holder, the receiver gives up what it does not need and tells what it drew
  giveDraws @21 (programs :List(KeptProgram)) -> ();
  fetchDraws @22 (joiner :Text, domain :Text) -> (counts :Bool, programs :List(KeptProgram));  # a daemon named so joins that domain; all that the receiver keeps, if it is of the same one
  tellSilent @23 (owner :Text, endpoint :Text, digests :List(Text)) -> ();  # calls of the sender for which nothing is heard of the endpoint
  leaseRequests @24 (workspace :Text, needed :UInt32, extra :UInt32) -> (isOwner :Bool, count :UInt32, waitSeconds :Float64);  # tokens of a workspace's quota, of the part that the receiver's failure domain keeps: for requests that wait, and ahead
  release @11 (program :Text) -> (tokens :Int64);  # the tokens that the receiver gives up
}
