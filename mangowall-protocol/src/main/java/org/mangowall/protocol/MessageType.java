package org.mangowall.protocol;

/** The types of {@link PeerMessage} with their numbers on the wire; a number is never reused for another type. */
public enum MessageType {
    /** {@link PeerMessage.Hello}. */
    HELLO(1),
    /** {@link PeerMessage.ForwardRequest}. */
    FORWARD_REQUEST(2),
    /** {@link PeerMessage.CancelRequest}. */
    CANCEL_REQUEST(3),
    /** {@link PeerMessage.ReleaseRequest}. */
    RELEASE_REQUEST(4),
    /** {@link PeerMessage.AnswerHead}. */
    ANSWER_HEAD(5),
    /** {@link PeerMessage.AnswerBody}. */
    ANSWER_BODY(6),
    /** {@link PeerMessage.AnswerEnd}. */
    ANSWER_END(7),
    /** {@link PeerMessage.RefusalNotice}. */
    REFUSAL_NOTICE(8),
    /** {@link PeerMessage.Exchange}. */
    EXCHANGE(9),
    /** {@link PeerMessage.PullRequests}. */
    PULL_REQUESTS(10),
    /** {@link PeerMessage.CountersAsk}. */
    COUNTERS_ASK(11),
    /** {@link PeerMessage.Counters}. */
    COUNTERS(12),
    /** {@link PeerMessage.Probe}. */
    PROBE(13),
    /** {@link PeerMessage.ProbeAnswer}. */
    PROBE_ANSWER(14),
    /** {@link PeerMessage.ConfigurationAsk}. */
    CONFIGURATION_ASK(15),
    /** {@link PeerMessage.ConfigurationContent}. */
    CONFIGURATION_CONTENT(16),
    /** {@link PeerMessage.ClaimAsk}. */
    CLAIM_ASK(17),
    /** {@link PeerMessage.ClaimAnswer}. */
    CLAIM_ANSWER(18),
    /** {@link PeerMessage.ClaimSettled}. */
    CLAIM_SETTLED(19),
    /** {@link PeerMessage.AnswerFlow}. */
    ANSWER_FLOW(20),
    /** {@link PeerMessage.Heartbeat}. */
    HEARTBEAT(21),
    /** {@link PeerMessage.MembersAsk}. */
    MEMBERS_ASK(22);

    private static final MessageType[] BY_NUMBER = indexByNumber();

    private final int number;

    MessageType(int number) {
        this.number = number;
    }

    private static MessageType[] indexByNumber() {
        MessageType[] types = new MessageType[values().length + 1];
        for (MessageType type : values()) {
            types[type.number] = type;
        }
        return types;
    }

    /** The number on the wire, from 1 to 127. */
    public int number() {
        return number;
    }

    /** Whether the message belongs to the traffic of callers; all others are control traffic. */
    public boolean isData() {
        return switch (this) {
            case FORWARD_REQUEST, CANCEL_REQUEST, ANSWER_HEAD, ANSWER_BODY, ANSWER_END, ANSWER_FLOW, REFUSAL_NOTICE ->
                true;
            default -> false;
        };
    }

    /** The type of a message. */
    public static MessageType of(PeerMessage message) {
        return switch (message) {
            case PeerMessage.Hello hello -> HELLO;
            case PeerMessage.ForwardRequest forward -> FORWARD_REQUEST;
            case PeerMessage.CancelRequest cancel -> CANCEL_REQUEST;
            case PeerMessage.ReleaseRequest release -> RELEASE_REQUEST;
            case PeerMessage.AnswerHead head -> ANSWER_HEAD;
            case PeerMessage.AnswerBody body -> ANSWER_BODY;
            case PeerMessage.AnswerEnd end -> ANSWER_END;
            case PeerMessage.RefusalNotice refusal -> REFUSAL_NOTICE;
            case PeerMessage.Exchange exchange -> EXCHANGE;
            case PeerMessage.PullRequests pull -> PULL_REQUESTS;
            case PeerMessage.CountersAsk ask -> COUNTERS_ASK;
            case PeerMessage.Counters counters -> COUNTERS;
            case PeerMessage.Probe probe -> PROBE;
            case PeerMessage.ProbeAnswer answer -> PROBE_ANSWER;
            case PeerMessage.ConfigurationAsk ask -> CONFIGURATION_ASK;
            case PeerMessage.ConfigurationContent content -> CONFIGURATION_CONTENT;
            case PeerMessage.ClaimAsk ask -> CLAIM_ASK;
            case PeerMessage.ClaimAnswer answer -> CLAIM_ANSWER;
            case PeerMessage.ClaimSettled settled -> CLAIM_SETTLED;
            case PeerMessage.AnswerFlow flow -> ANSWER_FLOW;
            case PeerMessage.Heartbeat heartbeat -> HEARTBEAT;
            case PeerMessage.MembersAsk ask -> MEMBERS_ASK;
        };
    }

    static MessageType ofNumber(int number) {
        if (number < 1 || number >= BY_NUMBER.length) {
            throw new FrameException("unknown message type " + number);
        }
        return BY_NUMBER[number];
    }
}
