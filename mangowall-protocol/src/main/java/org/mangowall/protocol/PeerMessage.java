package org.mangowall.protocol;

import java.util.List;
import java.util.Optional;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.policy.CounterSnapshot;
import org.mangowall.policy.ReleaseReason;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.ServiceExchange;
import org.mangowall.policy.fleet.FleetMember;

/** A message from one router to another. Byte arrays are not copied and are not to be changed. */
public sealed interface PeerMessage {

    /** The first message on each connection, in both directions; any other first message closes it. */
    record Hello(int protocolVersion, RouterName router, long incarnation, ZoneName zone) implements PeerMessage {}

    /** Entry to home: a request with all that its runner needs. */
    record ForwardRequest(
            RequestDescription description, String method, String path, List<HeaderField> headers, byte[] body)
            implements PeerMessage {

        /** Copies the header fields. */
        public ForwardRequest {
            headers = List.copyOf(headers);
        }
    }

    /** Entry to home: the request is not wanted any more. */
    record CancelRequest(RequestIdentifier request) implements PeerMessage {}

    /** Home to entry: the request has not run here; go on with it elsewhere. */
    record ReleaseRequest(RequestDescription description, ReleaseReason reason, Optional<RouterName> moveTo)
            implements PeerMessage {}

    /** Home to entry: the runner's answer begins. */
    record AnswerHead(RequestIdentifier request, RunnerName runner, int status, List<HeaderField> headers)
            implements PeerMessage {

        /** Copies the header fields. */
        public AnswerHead {
            headers = List.copyOf(headers);
        }
    }

    /** Home to entry: a piece of the answer's body. */
    record AnswerBody(RequestIdentifier request, byte[] bytes) implements PeerMessage {}

    /** Home to entry: the answer is whole; {@code bodyBytes} is its length, which the entry checks. */
    record AnswerEnd(RequestIdentifier request, long bodyBytes) implements PeerMessage {}

    /** Home to entry: the request ended with a failure. */
    record RefusalNotice(RequestIdentifier request, FailureCode code, long retryAfterMillis) implements PeerMessage {}

    /** Entry to home: the caller has taken so many bytes of the answer's body; the home may send a window more. */
    record AnswerFlow(RequestIdentifier request, long takenBytes) implements PeerMessage {}

    /** A sign of life on a connection that has been silent; one that asks is answered by one that does not. */
    record Heartbeat(long sequence, boolean asks) implements PeerMessage {}

    /** Home to home: the state of a service. */
    record Exchange(ServiceExchange exchange) implements PeerMessage {}

    /** Home to home: room for waiting requests of workspaces with a virtual time below the tag. */
    record PullRequests(ServiceName service, int slots, double belowTag) implements PeerMessage {}

    /** Asks for all counters. */
    record CountersAsk() implements PeerMessage {}

    /** All counters of a service. */
    record Counters(CounterSnapshot snapshot) implements PeerMessage {}

    /** A heartbeat that asks for an answer; it carries news of members. */
    record Probe(long sequence, long configurationVersion, List<FleetMember> members) implements PeerMessage {

        /** Copies the members. */
        public Probe {
            members = List.copyOf(members);
        }
    }

    /** The answer to a heartbeat. */
    record ProbeAnswer(long sequence, long configurationVersion, List<FleetMember> members) implements PeerMessage {

        /** Copies the members. */
        public ProbeAnswer {
            members = List.copyOf(members);
        }
    }

    /** Asks for all members; they come in probe answers with sequence 0. */
    record MembersAsk() implements PeerMessage {}

    /** Asks for the configuration when the receiver has a newer one. */
    record ConfigurationAsk(long haveVersion) implements PeerMessage {}

    /** A configuration document as the platform keeps it. */
    record ConfigurationContent(long version, byte[] document) implements PeerMessage {}

    /** Entry to the holder of a key partition: claim the key for the request. */
    record ClaimAsk(RequestIdentifier request, String keyDigest, String requestDigest) implements PeerMessage {}

    /** The holder's word on a claim. */
    record ClaimAnswer(RequestIdentifier request, ClaimVerdict verdict, Optional<StoredAnswer> answer)
            implements PeerMessage {}

    /** Entry to the holder: how the claimed request ended; without an answer its outcome is unknown. */
    record ClaimSettled(RequestIdentifier request, String keyDigest, boolean ran, Optional<StoredAnswer> answer)
            implements PeerMessage {}
}
