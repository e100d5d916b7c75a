package org.mangowall.edge.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.StorePosition;
import org.mangowall.edge.wire.StoredObject;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the messages of the peer protocol as MessagePack. */
final class PeerCodec {

    /** The version of the peer protocol that this program speaks; hosts before the first one state none. */
    static final int VERSION = 3;
    /** Hosts of this version or a later one accept compressed messages. */
    static final int COMPRESSION_VERSION = 1;
    /** Hosts of this version or a later one compare fingerprints of the store's objects. */
    static final int FINGERPRINT_VERSION = 3;

    private static final int MESSAGE_HELLO = 1;
    private static final int MESSAGE_REPORTS = 2;
    private static final int MESSAGE_STORE_OBJECTS = 3;
    private static final int MESSAGE_ACKNOWLEDGEMENT = 4;
    private static final int MESSAGE_HANDOVER = 5;
    private static final int MESSAGE_COMPRESSED = 6;
    private static final int MESSAGE_ALL_OBJECTS_REQUEST = 7;
    /** Shorter messages hardly become shorter. */
    private static final int MIN_COMPRESSED_BYTES = 256;
    /** Large enough for a complete configuration. */
    static final int MAX_MESSAGE_BYTES = 8 << 20;

    /** The default buffer of 16 KB would be allocated for each of many short reports. */
    private static final MessagePack.UnpackerConfig UNPACKERS =
            new MessagePack.UnpackerConfig().withStringDecoderBufferSize(64);

    private PeerCodec() {}

    /** Compresses an encoded message if it is long; for hosts of {@link #COMPRESSION_VERSION} or later. */
    static byte[] compress(byte[] plain) {
        if (plain.length < MIN_COMPRESSED_BYTES) {
            return plain;
        }
        byte[] compressed = FrameCompression.compress(plain);
        byte[] encoded = new byte[compressed.length + 1];
        encoded[0] = MESSAGE_COMPRESSED;
        System.arraycopy(compressed, 0, encoded, 1, compressed.length);
        return encoded;
    }

    static byte[] encode(HostMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            switch (message) {
                case HostMessage.Hello hello -> {
                    packer.packInt(MESSAGE_HELLO);
                    packHost(packer, hello.sender());
                    packer.packBoolean(hello.role().isRelay());
                    packer.packBoolean(hello.role().isNeeded());
                    packer.packBoolean(hello.role().wantsAllReports());
                    packer.packBoolean(hello.wantsHandover());
                    packer.packArrayHeader(hello.known().size());
                    for (HostRecord host : hello.known()) {
                        packHost(packer, host);
                    }
                    packer.packInt(hello.version());
                }
                case HostMessage.Reports reports -> packReports(packer, reports);
                case HostMessage.Handover handover -> {
                    packer.packInt(MESSAGE_HANDOVER);
                    LoadEventCodec.pack(packer, handover.events());
                }
                case HostMessage.StoreObjects objects -> packObjects(packer, objects);
                case HostMessage.AllObjectsRequest request ->
                    packer.packInt(MESSAGE_ALL_OBJECTS_REQUEST)
                            .packString(request.kind().name());
                case HostMessage.Acknowledgement acknowledgement ->
                    packer.packInt(MESSAGE_ACKNOWLEDGEMENT)
                            .packLong(acknowledgement.sentAt())
                            .packLong(acknowledgement.heldNanos());
            }
            return packer.toByteArray();
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "cannot encode a peer message", failure);
        }
    }

    private static void packHost(MessageBufferPacker packer, HostRecord host) throws IOException {
        packer.packString(host.name());
        packer.packLong(host.incarnation());
        packer.packString(host.peerAddress());
        packer.packString(host.callerAddress());
        packer.packString(host.zone());
        packer.packDouble(host.processors());
    }

    private static void packReports(MessageBufferPacker packer, HostMessage.Reports reports) throws IOException {
        packer.packInt(MESSAGE_REPORTS);
        packer.packArrayHeader(reports.reports().size());
        for (HostReport report : reports.reports()) {
            packer.packString(report.host());
            packer.packLong(report.incarnation());
            packer.packLong(report.sequence());
            packer.packBinaryHeader(report.state().length);
            packer.writePayload(report.state());
        }
        packer.packLong(reports.sentAt());
    }

    static byte[] encode(HostState state) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packBoolean(state.isReady());
            packer.packBoolean(state.hasStore());
            packer.packLong(state.storeResponseAgeMillis());
            for (ObjectKind kind : ObjectKind.values()) {
                packPosition(packer, state.completeTo().getOrDefault(kind, StorePosition.START));
            }
            packer.packBoolean(state.record().isPresent());
            if (state.record().isPresent()) {
                packHost(packer, state.record().get());
            }
            LoadEventCodec.pack(packer, state.events());
            return packer.toByteArray();
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "cannot encode a host state", failure);
        }
    }

    private static void packObjects(MessageBufferPacker packer, HostMessage.StoreObjects objects) throws IOException {
        packer.packInt(MESSAGE_STORE_OBJECTS);
        packer.packString(objects.kind().name());
        packPosition(packer, objects.after());
        packPosition(packer, objects.asOf());
        packer.packArrayHeader(objects.objects().size());
        for (StoredObject object : objects.objects()) {
            packer.packString(object.name());
            packPosition(packer, object.position());
            packer.packBoolean(object.isDeleted());
            packer.packBinaryHeader(object.content().length);
            packer.writePayload(object.content());
        }
        if (objects.fingerprint().isPresent()) {
            packer.packLong(objects.fingerprint().getAsLong());
        }
    }

    private static void packPosition(MessageBufferPacker packer, StorePosition position) throws IOException {
        packer.packLong(position.era());
        packer.packLong(position.revision());
    }

    /**
     * Decodes a message.
     *
     * @throws MangowallException with {@code FRAME_INVALID} if the bytes are malformed
     */
    static HostMessage decode(byte[] bytes) {
        if (bytes.length == 0 || bytes[0] != MESSAGE_COMPRESSED) {
            return decodePlain(bytes);
        }
        return decodePlain(FrameCompression.decompress(Arrays.copyOfRange(bytes, 1, bytes.length), MAX_MESSAGE_BYTES));
    }

    private static HostMessage decodePlain(byte[] bytes) {
        try (MessageUnpacker unpacker = UNPACKERS.newUnpacker(bytes)) {
            int type = unpacker.unpackInt();
            return switch (type) {
                case MESSAGE_HELLO ->
                    new HostMessage.Hello(
                            unpackHost(unpacker),
                            new LinkRole(unpacker.unpackBoolean(), unpacker.unpackBoolean(), unpacker.unpackBoolean()),
                            unpacker.unpackBoolean(),
                            unpackHosts(unpacker),
                            unpacker.hasNext() ? unpacker.unpackInt() : 0);
                case MESSAGE_REPORTS -> unpackReports(unpacker);
                case MESSAGE_HANDOVER -> new HostMessage.Handover(LoadEventCodec.unpack(unpacker));
                case MESSAGE_STORE_OBJECTS -> unpackObjects(unpacker);
                case MESSAGE_ALL_OBJECTS_REQUEST ->
                    new HostMessage.AllObjectsRequest(ObjectKind.valueOf(unpacker.unpackString()));
                case MESSAGE_ACKNOWLEDGEMENT ->
                    new HostMessage.Acknowledgement(unpackOptionalLong(unpacker), unpackOptionalLong(unpacker));
                default -> throw new MangowallException(FailureCode.FRAME_INVALID, "unknown peer message type " + type);
            };
        } catch (IOException | MessagePackException | IllegalArgumentException failure) {
            throw new MangowallException(FailureCode.FRAME_INVALID, "cannot decode a peer message", failure);
        }
    }

    private static HostRecord unpackHost(MessageUnpacker unpacker) throws IOException {
        return new HostRecord(
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackDouble());
    }

    private static List<HostRecord> unpackHosts(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        List<HostRecord> hosts = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            hosts.add(unpackHost(unpacker));
        }
        return hosts;
    }

    private static HostMessage unpackReports(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        List<HostReport> reports = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            reports.add(new HostReport(
                    unpacker.unpackString(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.readPayload(unpacker.unpackBinaryHeader())));
        }
        return new HostMessage.Reports(reports, unpackOptionalLong(unpacker));
    }

    /** Decodes a last field that earlier versions of the protocol lack; 0 without it. */
    private static long unpackOptionalLong(MessageUnpacker unpacker) throws IOException {
        return unpacker.hasNext() ? unpacker.unpackLong() : 0;
    }

    /**
     * Decodes the state of a host.
     *
     * @throws MangowallException with {@code FRAME_INVALID} if the bytes are malformed
     */
    static HostState decodeState(byte[] bytes) {
        try (MessageUnpacker unpacker = UNPACKERS.newUnpacker(bytes)) {
            boolean isReady = unpacker.unpackBoolean();
            boolean hasStore = unpacker.unpackBoolean();
            long storeResponseAgeMillis = unpacker.unpackLong();
            Map<ObjectKind, StorePosition> completeTo = new EnumMap<>(ObjectKind.class);
            for (ObjectKind kind : ObjectKind.values()) {
                completeTo.put(kind, unpackPosition(unpacker));
            }
            Optional<HostRecord> record =
                    unpacker.unpackBoolean() ? Optional.of(unpackHost(unpacker)) : Optional.empty();
            return new HostState(
                    isReady, hasStore, storeResponseAgeMillis, completeTo, record, LoadEventCodec.unpack(unpacker));
        } catch (IOException | MessagePackException | IllegalArgumentException failure) {
            throw new MangowallException(FailureCode.FRAME_INVALID, "cannot decode a host state", failure);
        }
    }

    private static HostMessage unpackObjects(MessageUnpacker unpacker) throws IOException {
        ObjectKind kind = ObjectKind.valueOf(unpacker.unpackString());
        StorePosition after = unpackPosition(unpacker);
        StorePosition asOf = unpackPosition(unpacker);
        int count = unpacker.unpackArrayHeader();
        List<StoredObject> objects = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            String name = unpacker.unpackString();
            StorePosition position = unpackPosition(unpacker);
            boolean isDeleted = unpacker.unpackBoolean();
            byte[] content = unpacker.readPayload(unpacker.unpackBinaryHeader());
            objects.add(new StoredObject(kind, name, position, content, isDeleted));
        }
        OptionalLong fingerprint = unpacker.hasNext() ? OptionalLong.of(unpacker.unpackLong()) : OptionalLong.empty();
        return new HostMessage.StoreObjects(kind, after, asOf, objects, fingerprint);
    }

    private static StorePosition unpackPosition(MessageUnpacker unpacker) throws IOException {
        return new StorePosition(unpacker.unpackLong(), unpacker.unpackLong());
    }
}
