package org.mangowall.protocol;

import java.io.IOException;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.policy.ReleaseReason;

/** Reads the fields of a message in the order in which {@link MessageEncoder} writes them. */
final class MessageDecoder {

    private static final Map<String, FailureCode> FAILURE_CODES_BY_CODE =
            Stream.of(FailureCode.values()).collect(Collectors.toMap(FailureCode::code, Function.identity()));

    private final ValueDecoder values;

    MessageDecoder(ValueDecoder values) {
        this.values = values;
    }

    PeerMessage read(MessageType type) throws IOException {
        return switch (type) {
            case HELLO -> new PeerMessage.Hello(values.integer(), values.router(), values.number(), values.zone());
            case FORWARD_REQUEST ->
                new PeerMessage.ForwardRequest(
                        values.description(), values.text(), values.text(), values.headers(), values.bytes());
            case CANCEL_REQUEST -> new PeerMessage.CancelRequest(values.request());
            case RELEASE_REQUEST ->
                new PeerMessage.ReleaseRequest(
                        values.description(), values.enumConstant(ReleaseReason.values()), values.optionalRouter());
            case ANSWER_HEAD ->
                new PeerMessage.AnswerHead(
                        values.request(), new RunnerName(values.text()), values.integer(), values.headers());
            case ANSWER_BODY -> new PeerMessage.AnswerBody(values.request(), values.bytes());
            case ANSWER_END -> new PeerMessage.AnswerEnd(values.request(), values.number());
            case REFUSAL_NOTICE -> new PeerMessage.RefusalNotice(values.request(), failureCode(), values.number());
            case EXCHANGE -> new PeerMessage.Exchange(values.exchange());
            case PULL_REQUESTS -> new PeerMessage.PullRequests(values.service(), values.integer(), values.real());
            case COUNTERS_ASK -> readCountersAsk();
            case COUNTERS -> new PeerMessage.Counters(values.snapshot());
            case PROBE -> new PeerMessage.Probe(values.number(), values.number(), values.members());
            case PROBE_ANSWER -> new PeerMessage.ProbeAnswer(values.number(), values.number(), values.members());
            case CONFIGURATION_ASK -> new PeerMessage.ConfigurationAsk(values.number());
            case CONFIGURATION_CONTENT -> new PeerMessage.ConfigurationContent(values.number(), values.bytes());
            case CLAIM_ASK -> new PeerMessage.ClaimAsk(values.request(), values.text(), values.text());
            case CLAIM_ANSWER ->
                new PeerMessage.ClaimAnswer(
                        values.request(), values.enumConstant(ClaimVerdict.values()), values.optionalAnswer());
            case CLAIM_SETTLED ->
                new PeerMessage.ClaimSettled(values.request(), values.text(), values.flag(), values.optionalAnswer());
            case ANSWER_FLOW -> new PeerMessage.AnswerFlow(values.request(), values.number());
            case HEARTBEAT -> new PeerMessage.Heartbeat(values.number(), values.flag());
            case MEMBERS_ASK -> readMembersAsk();
        };
    }

    private PeerMessage readCountersAsk() throws IOException {
        values.flag(); // the only field, always true
        return new PeerMessage.CountersAsk();
    }

    private PeerMessage readMembersAsk() throws IOException {
        values.flag(); // the only field, always true
        return new PeerMessage.MembersAsk();
    }

    private FailureCode failureCode() throws IOException {
        FailureCode code = FAILURE_CODES_BY_CODE.get(values.text());
        if (code == null) {
            throw new FrameException("frame has an unknown failure code");
        }
        return code;
    }
}
