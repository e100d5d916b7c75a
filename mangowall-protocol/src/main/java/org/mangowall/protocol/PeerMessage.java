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

/**
 * A message from one router to another. Byte arrays are not copied and must not be modified.
 *
 * <p>The entry of a request is the router that received it from the caller; the home of a runner is the router that
 * sends requests to it.
 */
public sealed interface PeerMessage {

    /** The first message on each connection, in both directions; any other first message closes it. */
    record Hello(int protocolVersion, RouterName router, long incarnation, ZoneName zone) implements PeerMessage {}

    /** Entry to home: a request to send to a runner. */
    record ForwardRequest(
            RequestDescription description, String method, String path, List<HeaderField> headers, byte[] body)
            implements PeerMessage {

        /** Copies the header fields. */
        public ForwardRequest {
            headers = List.copyOf(headers);
        }
    }

    /** Entry to home: cancels the request. */
    record CancelRequest(RequestIdentifier request) implements PeerMessage {}

    /** Home to entry: the request has not run here and must be routed again, to {@code moveTo} if present. */
    record ReleaseRequest(RequestDescription description, ReleaseReason reason, Optional<RouterName> moveTo)
            implements PeerMessage {}

    /** Home to entry: the status and header fields of the runner's response. */
    record AnswerHead(RequestIdentifier request, RunnerName runner, int status, List<HeaderField> headers)
            implements PeerMessage {

        /** Copies the header fields. */
        public AnswerHead {
            headers = List.copyOf(headers);
        }
    }

    /** Home to entry: a part of the response body. */
    record AnswerBody(RequestIdentifier request, byte[] bytes) implements PeerMessage {}

    /** Home to entry: the response is complete; the entry checks {@code bodyBytes}, the length of its body. */
    record AnswerEnd(RequestIdentifier request, long bodyBytes) implements PeerMessage {}

    /** Home to entry: the request ended with a failure. */
    record RefusalNotice(RequestIdentifier request, FailureCode code, long retryAfterMillis) implements PeerMessage {}

    /** Entry to home: the body bytes that the caller has received so far; the home may send one window beyond them. */
    record AnswerFlow(RequestIdentifier request, long takenBytes) implements PeerMessage {}

    /** A keep-alive on an idle connection; one with {@code replyExpected} is answered by one without. */
    record Heartbeat(long sequence, boolean replyExpected) implements PeerMessage {}

    /** Home to home: the sender's state of a service. */
    record Exchange(ServiceExchange exchange) implements PeerMessage {}

    /** Home to home: offers free slots for waiting requests of workspaces whose virtual time is below the tag. */
    record PullRequests(ServiceName service, int slots, double belowTag) implements PeerMessage {}

    /** Requests the counters of all services. */
    record CountersAsk() implements PeerMessage {}

    /** The counters of one service. */
    record Counters(CounterSnapshot snapshot) implements PeerMessage {}

    /** A membership probe that must be answered; it carries membership updates. */
    record Probe(long sequence, long configurationVersion, List<FleetMember> members) implements PeerMessage {

        /** Copies the members. */
        public Probe {
            members = List.copyOf(members);
        }
    }

    /** The answer to a probe; it carries membership updates. */
    record ProbeAnswer(long sequence, long configurationVersion, List<FleetMember> members) implements PeerMessage {

        /** Copies the members. */
        public ProbeAnswer {
            members = List.copyOf(members);
        }
    }

    /** Requests all members; they are sent in probe answers with sequence 0. */
    record MembersAsk() implements PeerMessage {}

    /** Requests the configuration if the receiver has a newer version. */
    record ConfigurationAsk(long haveVersion) implements PeerMessage {}

    /** A configuration document as the platform stores it. */
    record ConfigurationContent(long version, byte[] document) implements PeerMessage {}

    /** Entry to the holder of a key partition: requests a claim of the key for the request. */
    record ClaimAsk(RequestIdentifier request, String keyDigest, String requestDigest) implements PeerMessage {}

    /** Holder to entry: the decision on a claim. */
    record ClaimAnswer(RequestIdentifier request, ClaimVerdict verdict, Optional<StoredResponse> answer)
            implements PeerMessage {}

    /**
     * Entry to the holder: how the claimed request ended; if it ran and there is no response, its outcome is unknown.
     */
    record ClaimSettled(RequestIdentifier request, String keyDigest, boolean ran, Optional<StoredResponse> answer)
            implements PeerMessage {}
}
