package org.mangowall.protocol;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.policy.CounterSnapshot;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.ServiceExchange;
import org.mangowall.policy.WorkspaceShare;
import org.mangowall.policy.fleet.FleetMember;
import org.msgpack.core.MessagePacker;

/** Writes the field values of messages. */
final class ValueEncoder {

    private final MessagePacker packer;

    ValueEncoder(MessagePacker packer) {
        this.packer = packer;
    }

    /** Writes one element of a list. */
    @FunctionalInterface
    interface ElementWriter<T> {

        void write(T element) throws IOException;
    }

    ValueEncoder number(long value) throws IOException {
        packer.packLong(value);
        return this;
    }

    ValueEncoder real(double value) throws IOException {
        packer.packDouble(value);
        return this;
    }

    ValueEncoder flag(boolean value) throws IOException {
        packer.packBoolean(value);
        return this;
    }

    ValueEncoder text(Object value) throws IOException {
        packer.packString(value.toString());
        return this;
    }

    ValueEncoder enumConstant(Enum<?> value) throws IOException {
        packer.packInt(value.ordinal());
        return this;
    }

    ValueEncoder bytes(byte[] value) throws IOException {
        packer.packBinaryHeader(value.length);
        packer.addPayload(value);
        return this;
    }

    ValueEncoder duration(Duration value) throws IOException {
        packer.packLong(value.toNanos());
        return this;
    }

    ValueEncoder optionalText(Optional<?> value) throws IOException {
        if (value.isEmpty()) {
            packer.packNil();
            return this;
        }
        return text(value.get());
    }

    <T> ValueEncoder list(List<T> elements, ElementWriter<T> writer) throws IOException {
        packer.packArrayHeader(elements.size());
        for (T element : elements) {
            writer.write(element);
        }
        return this;
    }

    ValueEncoder request(RequestIdentifier request) throws IOException {
        return text(request.entry()).number(request.incarnation()).number(request.sequence());
    }

    ValueEncoder description(RequestDescription description) throws IOException {
        return request(description.identifier())
                .text(description.workspace())
                .text(description.service())
                .flag(description.repeatable())
                .real(description.costHint())
                .number(description.prefixHash())
                .duration(description.waited())
                .number(description.moves())
                .flag(description.mayHaveRun());
    }

    ValueEncoder headers(List<HeaderField> headers) throws IOException {
        return list(headers, header -> text(header.name()).text(header.value()));
    }

    ValueEncoder members(List<FleetMember> members) throws IOException {
        return list(members, this::member);
    }

    private void member(FleetMember member) throws IOException {
        text(member.name()).number(member.incarnation()).text(member.zone()).text(member.host());
        number(member.callerPort())
                .number(member.peerPort())
                .enumConstant(member.state())
                .number(member.revision());
    }

    ValueEncoder exchange(ServiceExchange exchange) throws IOException {
        text(exchange.from()).number(exchange.incarnation()).number(exchange.sequence());
        text(exchange.service()).number(exchange.freeSlots()).number(exchange.waitingRequests());
        return real(exchange.headVirtualTime()).list(exchange.shares(), this::share);
    }

    private void share(WorkspaceShare share) throws IOException {
        text(share.workspace())
                .number(share.waiting())
                .real(share.charged())
                .real(share.refunded())
                .real(share.lift());
    }

    ValueEncoder snapshot(CounterSnapshot snapshot) throws IOException {
        return text(snapshot.from()).text(snapshot.service()).list(snapshot.charges(), this::charge);
    }

    private void charge(CounterSnapshot.OriginCharge charge) throws IOException {
        text(charge.origin()).number(charge.incarnation()).text(charge.workspace());
        real(charge.charged()).real(charge.refunded()).real(charge.lift());
    }

    ValueEncoder optionalAnswer(Optional<StoredResponse> answer) throws IOException {
        if (answer.isEmpty()) {
            packer.packNil();
            return this;
        }
        StoredResponse stored = answer.get();
        return number(stored.status()).headers(stored.headers()).bytes(stored.body());
    }
}
