package org.bulrushvale.adapters.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.jspecify.annotations.Nullable;

/**
 * Mutual authentication on one connection: both sides prove that they know the shared secret.
 *
 * <p>Invariants: the proof covers the role of its sender and the nonces and names of both sides, so
 * that it can neither be reflected nor replayed on another connection; proofs are compared in
 * constant time.
 *
 * <p>Thread safety: not safe; owned by the transport's thread.
 */
final class Handshake {
    static final int VERSION = 3;
    static final int NONCE_BYTES = 32;
    private static final String ALGORITHM = "HmacSHA256";
    private static final SecureRandom RANDOM = new SecureRandom();

    // Each lookup searches the security providers.
    private static final ThreadLocal<Mac> MAC = ThreadLocal.withInitial(Handshake::newMac);

    private final boolean mDialled;
    private final byte[] mSecret;
    private final PeerMessage.Hello mOwnHello;
    private PeerMessage.@Nullable Hello mPeerHello;

    Handshake(boolean dialled, byte[] secret, String fleet, PeerMessage.Sender self) {
        mDialled = dialled;
        mSecret = secret;
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        mOwnHello = new PeerMessage.Hello(VERSION, fleet, self, nonce);
    }

    PeerMessage.Hello hello() {
        return mOwnHello;
    }

    /** Checks the peer's hello; a dialled peer must be the expected VM. */
    void accept(PeerMessage.Hello peer, @Nullable String expectedVm) throws PeerException {
        if (peer.version() != VERSION) {
            throw PeerException.rejected(
                    PeerRejectReason.WRONG_VERSION,
                    "peer uses protocol version " + peer.version() + " instead of " + VERSION);
        }
        if (!peer.fleet().equals(mOwnHello.fleet())) {
            throw PeerException.rejected(
                    PeerRejectReason.WRONG_FLEET, "peer belongs to another fleet");
        }
        if (peer.nonce().length != NONCE_BYTES) {
            throw PeerException.rejected(
                    PeerRejectReason.FRAME_MALFORMED,
                    "nonce has a length other than " + NONCE_BYTES + " bytes");
        }
        // A peer that is dialled by its endpoint, "address:port", may have any VM name.
        boolean dialledByName = expectedVm != null && expectedVm.indexOf(':') < 0;
        if (dialledByName && !peer.sender().vm().equals(expectedVm)) {
            throw PeerException.rejected(
                    PeerRejectReason.WRONG_VM, "another VM than the expected one has this address");
        }
        mPeerHello = peer;
    }

    PeerMessage.Proof proof() throws PeerException {
        return new PeerMessage.Proof(mac(mDialled));
    }

    void verify(PeerMessage.Proof proof) throws PeerException {
        if (!MessageDigest.isEqual(mac(!mDialled), proof.mac())) {
            throw PeerException.rejected(
                    PeerRejectReason.WRONG_PROOF, "proof does not match the shared secret");
        }
    }

    private byte[] mac(boolean byDialler) throws PeerException {
        PeerMessage.Hello peer = mPeerHello;
        if (peer == null) {
            throw PeerException.rejected(
                    PeerRejectReason.FRAME_UNEXPECTED, "proof received before hello");
        }
        try {
            Mac mac = MAC.get();
            mac.init(new SecretKeySpec(mSecret, ALGORITHM));
            update(mac, byDialler ? "bulrushvale-peer-dialler" : "bulrushvale-peer-acceptor");
            update(mac, mDialled ? mOwnHello : peer);
            update(mac, mDialled ? peer : mOwnHello);
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new AssertionError("every Java platform supports " + ALGORITHM, e);
        }
    }

    private static Mac newMac() {
        try {
            return Mac.getInstance(ALGORITHM);
        } catch (GeneralSecurityException e) {
            throw new AssertionError("every Java platform supports " + ALGORITHM, e);
        }
    }

    private static void update(Mac mac, PeerMessage.Hello hello) {
        mac.update(hello.nonce());
        update(mac, hello.fleet());
        update(mac, hello.sender().vm());
        update(mac, hello.sender().incarnation());
    }

    private static void update(Mac mac, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        // The length prefix keeps two different pairs of names from producing the same MAC input.
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        mac.update(bytes);
    }
}
