package org.foxtailmoor.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.base.SettingsReader;
import org.foxtailmoor.catalogue.CatalogueCodec;
import org.foxtailmoor.catalogue.CatalogueReader;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.core.distribution.ViewLease;
import org.foxtailmoor.core.source.ConfigurationSource;
import org.foxtailmoor.core.source.InstanceList;
import org.foxtailmoor.core.source.InstanceListing;
import org.foxtailmoor.core.source.SourceValue;
import org.foxtailmoor.node.NodeSettings;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.CrashReport;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.PartReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Runs several control planes over loopback connections against an in-memory platform. */
class ControlPlaneTest {
    private static final String CATALOGUE =
            """
            [[owner]]
            id = "billing"
            contact = "billing@example.org"

            [[class]]
            id = "lookup"
            owner = "billing"
            weight = %d
            queue_limit = 10

            [[region]]
            id = "santiago"
            owner = "billing"
            zones = ["stgo-a", "stgo-b"]
            holds_source = true
            """;

    private final EventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final InMemoryPlatform mPlatform = new InMemoryPlatform();
    private final List<TestNode> mNodes = new ArrayList<>();

    @AfterEach
    void close() {
        mNodes.forEach(node -> node.mControlPlane.close());
        mLoops.shutdownGracefully();
    }

    /** Guards against nodes that never finish startup or that miss a published version. */
    @Test
    void everyNodeBecomesReadyAndReceivesAPublishedVersion() throws Exception {
        startNodes();
        for (TestNode node : mNodes) {
            node.mVersionOne.get(20, TimeUnit.SECONDS);
            node.mReadyReported.get(20, TimeUnit.SECONDS);
        }

        mPlatform.publish(document(2));

        for (TestNode node : mNodes) {
            node.mVersionTwo.get(20, TimeUnit.SECONDS);
            assertThat(node.mControlPlane.isReady()).isTrue();
        }
    }

    /**
     * Guards against new nodes that depend on the platform although their peers have the documents.
     */
    @Test
    void aNewNodeReceivesDocumentsFromPeersWhileThePlatformIsDown() throws Exception {
        startNodes();
        for (TestNode node : mNodes) {
            node.mReadyReported.get(20, TimeUnit.SECONDS);
        }
        mPlatform.mUnavailable = true;

        TestNode lateNode =
                new TestNode(
                        "saldo-late", "stgo-b", mNodes.get(0).mControlPlane.address().getPort());

        lateNode.mVersionOne.get(20, TimeUnit.SECONDS);
        lateNode.mReadyReported.get(20, TimeUnit.SECONDS);
    }

    private void startNodes() {
        mPlatform.publish(document(1));
        for (int index = 0; index < 4; index++) {
            mNodes.add(new TestNode("saldo-" + index, index % 2 == 0 ? "stgo-a" : "stgo-b", 0));
        }
        mPlatform.mInstances = mNodes.stream().map(TestNode::instance).toList();
    }

    private static Document document(int version) {
        return CatalogueCodec.toDocument(
                version, CatalogueReader.read("test", CATALOGUE.formatted(version)).entries());
    }

    private final class TestNode implements ControlListener {
        private final String mId;
        private final String mZone;
        private final ControlPlane mControlPlane;
        private final CompletableFuture<Void> mVersionOne = new CompletableFuture<>();
        private final CompletableFuture<Void> mVersionTwo = new CompletableFuture<>();
        private final CompletableFuture<Void> mReadyReported = new CompletableFuture<>();

        TestNode(String id, String zone, int seedPort) {
            mId = id;
            mZone = zone;
            mControlPlane =
                    ControlPlane.builder()
                            .settings(settings(id, zone, seedPort))
                            .loop(mLoops.next())
                            .ticker(Ticker.systemTicker())
                            .random(new SplittableRandom(id.hashCode()))
                            .incarnation(1)
                            .metrics(new MetricRegistry())
                            .configurationSource(mPlatform)
                            .instanceList(mPlatform)
                            .listener(this)
                            .build();
            mControlPlane.start();
        }

        Instance instance() {
            return Instance.newBuilder()
                    .setId(mId)
                    .setServiceId("saldo")
                    .setRegion("santiago")
                    .setZone(mZone)
                    .setAddress("127.0.0.1")
                    .setNodePort(1)
                    .setControlPort(mControlPlane.address().getPort())
                    .build();
        }

        @Override
        public void onDocuments(
                CatalogueSnapshot catalogue,
                DocumentVersion instancesVersion,
                List<Instance> instances) {
            if (catalogue.version().getNumber() == 1) {
                mVersionOne.complete(null);
            }
            if (catalogue.version().getNumber() == 2) {
                mVersionTwo.complete(null);
            }
        }

        @Override
        public void onViewLease(ViewLease lease) {}

        @Override
        public void onCrashReports(List<CrashReport> reports) {}

        @Override
        public void onReady() {
            mReadyReported.complete(null);
        }

        @Override
        public void onListedAsLeaving() {}

        private static NodeSettings settings(String id, String zone, int seedPort) {
            String seeds = seedPort == 0 ? "" : "\"127.0.0.1:" + seedPort + "\"";
            return NodeSettings.of(
                    SettingsReader.of(
                            id,
                            """
                            [node]
                            id = "%s"
                            service = "saldo"
                            region = "santiago"
                            zone = "%s"
                            address = "127.0.0.1"
                            caller_port = 0
                            node_port = 0
                            control_port = 0
                            admin_port = 0
                            [target]
                            address = "127.0.0.1"
                            port = 1
                            [platform]
                            address = "127.0.0.1"
                            port = 1
                            [peers]
                            seeds = [%s]
                            """
                                    .formatted(id, zone, seeds)));
        }
    }

    /** Platform whose watches complete immediately. */
    private static final class InMemoryPlatform implements ConfigurationSource, InstanceList {
        private final Map<String, SourceValue> mValues = new ConcurrentHashMap<>();
        private volatile List<Instance> mInstances = List.of();
        private volatile boolean mUnavailable;
        private long mRevision;

        void publish(Document document) {
            for (PartReference part : document.manifest().getPartsList()) {
                put(
                        PublishedCatalogueReader.PART_KEY_PREFIX
                                + HexFormat.of().formatHex(part.getDigest().toByteArray()),
                        document.contents().get(part.getName()));
            }
            put(PublishedCatalogueReader.MANIFEST_KEY, document.manifest().toByteString());
        }

        @Override
        public CompletableFuture<Optional<SourceValue>> read(String key) {
            return resultOf(Optional.ofNullable(mValues.get(key)));
        }

        @Override
        public CompletableFuture<Optional<SourceValue>> watch(
                String key, long afterRevision, Duration timeout) {
            return read(key).thenApply(value -> value.filter(it -> it.revision() > afterRevision));
        }

        @Override
        public CompletableFuture<InstanceListing> read() {
            return resultOf(new InstanceListing(mInstances.size(), mInstances));
        }

        @Override
        public CompletableFuture<Optional<InstanceListing>> watch(
                long afterRevision, Duration timeout) {
            return read().thenApply(
                            listing ->
                                    Optional.of(listing)
                                            .filter(it -> it.revision() > afterRevision));
        }

        private <T> CompletableFuture<T> resultOf(T value) {
            return mUnavailable
                    ? CompletableFuture.failedFuture(
                            FoxtailmoorException.of(ErrorKind.PLATFORM_UNAVAILABLE, "down"))
                    : CompletableFuture.completedFuture(value);
        }

        private void put(String key, ByteString content) {
            mRevision++;
            mValues.put(key, new SourceValue(mRevision, content));
        }
    }
}
