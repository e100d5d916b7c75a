package org.mangowall.protocol;

import java.io.IOException;

/** Writes the fields of a message in the order in which {@link MessageDecoder} reads them. */
final class MessageEncoder {

    private final ValueEncoder values;

    MessageEncoder(ValueEncoder values) {
        this.values = values;
    }

    void write(PeerMessage message) throws IOException {
        switch (message) {
            case PeerMessage.Hello hello -> writeHello(hello);
            case PeerMessage.ForwardRequest forward -> writeForward(forward);
            case PeerMessage.CancelRequest cancel -> values.request(cancel.request());
            case PeerMessage.ReleaseRequest release ->
                values.description(release.description())
                        .enumConstant(release.reason())
                        .optionalText(release.moveTo());
            case PeerMessage.AnswerHead head -> writeHead(head);
            case PeerMessage.AnswerBody body -> values.request(body.request()).bytes(body.bytes());
            case PeerMessage.AnswerEnd end -> values.request(end.request()).number(end.bodyBytes());
            case PeerMessage.RefusalNotice refusal ->
                values.request(refusal.request()).text(refusal.code().code()).number(refusal.retryAfterMillis());
            case PeerMessage.AnswerFlow flow -> values.request(flow.request()).number(flow.takenBytes());
            case PeerMessage.Heartbeat heartbeat ->
                values.number(heartbeat.sequence()).flag(heartbeat.replyExpected());
            case PeerMessage.Exchange exchange -> values.exchange(exchange.exchange());
            case PeerMessage.PullRequests pull ->
                values.text(pull.service()).number(pull.slots()).real(pull.belowTag());
            case PeerMessage.CountersAsk ask -> values.flag(true);
            case PeerMessage.Counters counters -> values.snapshot(counters.snapshot());
            case PeerMessage.MembersAsk ask -> values.flag(true);
            case PeerMessage.Probe probe ->
                values.number(probe.sequence())
                        .number(probe.configurationVersion())
                        .members(probe.members());
            case PeerMessage.ProbeAnswer answer ->
                values.number(answer.sequence())
                        .number(answer.configurationVersion())
                        .members(answer.members());
            case PeerMessage.ConfigurationAsk ask -> values.number(ask.haveVersion());
            case PeerMessage.ConfigurationContent content ->
                values.number(content.version()).bytes(content.document());
            case PeerMessage.ClaimAsk ask ->
                values.request(ask.request()).text(ask.keyDigest()).text(ask.requestDigest());
            case PeerMessage.ClaimAnswer answer ->
                values.request(answer.request()).enumConstant(answer.verdict()).optionalAnswer(answer.answer());
            case PeerMessage.ClaimSettled settled ->
                values.request(settled.request())
                        .text(settled.keyDigest())
                        .flag(settled.ran())
                        .optionalAnswer(settled.answer());
        }
    }

    private void writeHello(PeerMessage.Hello hello) throws IOException {
        values.number(hello.protocolVersion())
                .text(hello.router())
                .number(hello.incarnation())
                .text(hello.zone());
    }

    private void writeForward(PeerMessage.ForwardRequest forward) throws IOException {
        values.description(forward.description())
                .text(forward.method())
                .text(forward.path())
                .headers(forward.headers())
                .bytes(forward.body());
    }

    private void writeHead(PeerMessage.AnswerHead head) throws IOException {
        values.request(head.request()).text(head.runner()).number(head.status()).headers(head.headers());
    }
}
