package org.mangowall.protocol;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.policy.CounterSnapshot;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.ServiceExchange;
import org.mangowall.policy.WorkspaceShare;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.MemberState;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Reads the field values of messages; a length beyond the end of the frame is rejected before memory is allocated. */
final class ValueDecoder {

    private final int totalBytes;
    private final MessageUnpacker unpacker;

    ValueDecoder(byte[] bytes) {
        this.totalBytes = bytes.length;
        this.unpacker = MessagePack.newDefaultUnpacker(bytes);
    }

    /** Reads one element of a list. */
    @FunctionalInterface
    interface ElementReader<T> {

        T read() throws IOException;
    }

    void expectEnd() throws IOException {
        if (unpacker.hasNext()) {
            throw new FrameException("frame has bytes after its end");
        }
    }

    int integer() throws IOException {
        return unpacker.unpackInt();
    }

    long number() throws IOException {
        return unpacker.unpackLong();
    }

    double real() throws IOException {
        return unpacker.unpackDouble();
    }

    boolean flag() throws IOException {
        return unpacker.unpackBoolean();
    }

    String text() throws IOException {
        int length = checkedLength(unpacker.unpackRawStringHeader());
        return new String(unpacker.readPayload(length), StandardCharsets.UTF_8);
    }

    byte[] bytes() throws IOException {
        int length = checkedLength(unpacker.unpackBinaryHeader());
        return unpacker.readPayload(length);
    }

    Duration duration() throws IOException {
        return Duration.ofNanos(number());
    }

    <E extends Enum<E>> E enumConstant(E[] values) throws IOException {
        int ordinal = integer();
        if (ordinal < 0 || ordinal >= values.length) {
            throw new FrameException("frame has an unknown enum ordinal " + ordinal);
        }
        return values[ordinal];
    }

    <T> List<T> list(ElementReader<T> reader) throws IOException {
        int count = checkedLength(unpacker.unpackArrayHeader());
        List<T> elements = new ArrayList<>(Math.min(count, 64));
        for (int index = 0; index < count; index++) {
            elements.add(reader.read());
        }
        return elements;
    }

    Optional<RouterName> optionalRouter() throws IOException {
        return unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(router());
    }

    RouterName router() throws IOException {
        return new RouterName(text());
    }

    ServiceName service() throws IOException {
        return new ServiceName(text());
    }

    WorkspaceName workspace() throws IOException {
        return new WorkspaceName(text());
    }

    ZoneName zone() throws IOException {
        return new ZoneName(text());
    }

    RequestIdentifier request() throws IOException {
        return new RequestIdentifier(router(), number(), number());
    }

    RequestDescription description() throws IOException {
        return new RequestDescription(
                request(), workspace(), service(), flag(), real(), number(), duration(), integer(), flag());
    }

    List<HeaderField> headers() throws IOException {
        return list(() -> new HeaderField(text(), text()));
    }

    List<FleetMember> members() throws IOException {
        return list(() -> new FleetMember(
                router(),
                number(),
                zone(),
                text(),
                integer(),
                integer(),
                enumConstant(MemberState.values()),
                integer()));
    }

    ServiceExchange exchange() throws IOException {
        return new ServiceExchange(
                router(), number(), number(), service(), integer(), integer(), real(), list(this::share));
    }

    private WorkspaceShare share() throws IOException {
        return new WorkspaceShare(workspace(), integer(), real(), real(), real());
    }

    CounterSnapshot snapshot() throws IOException {
        return new CounterSnapshot(router(), service(), list(this::charge));
    }

    private CounterSnapshot.OriginCharge charge() throws IOException {
        return new CounterSnapshot.OriginCharge(router(), number(), workspace(), real(), real(), real());
    }

    Optional<StoredResponse> optionalAnswer() throws IOException {
        if (unpacker.tryUnpackNil()) {
            return Optional.empty();
        }
        return Optional.of(new StoredResponse(integer(), headers(), bytes()));
    }

    private int checkedLength(int length) {
        if (length < 0 || length > totalBytes - unpacker.getTotalReadBytes()) {
            throw new FrameException("frame has a length beyond its end");
        }
        return length;
    }
}
