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
 * Mutual proof of the shared secret on one connection.
 *
 * <p>Invariants: the proof covers the role of its sender, both nonces and both names, so that it
 * can neither be reflected nor used on another connection; proofs are compared in constant time.
 *
 * <p>Thread safety: not safe; owned by the transport's thread.
 */
final class Handshake {
    static final int VERSION = 1;
    static final int NONCE_BYTES = 32;
    private static final String ALGORITHM = "HmacSHA256";
    private static final SecureRandom RANDOM = new SecureRandom();

    private final boolean mDialled;
    private final byte[] mSecret;
    private final PeerMessage.Hello mOwn;
    private PeerMessage.@Nullable Hello mPeer;

    Handshake(boolean dialled, byte[] secret, String fleet, PeerMessage.Sender self) {
        mDialled = dialled;
        mSecret = secret;
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        mOwn = new PeerMessage.Hello(VERSION, fleet, self, nonce);
    }

    PeerMessage.Hello hello() {
        return mOwn;
    }

    /** Checks the peer's hello; a dialled peer must be the VM that was meant. */
    void accept(PeerMessage.Hello peer, @Nullable String expectedVm) throws PeerException {
        if (peer.version() != VERSION) {
            throw PeerException.rejected(PeerReject.WRONG_VERSION, "peer has another version");
        }
        if (!peer.fleet().equals(mOwn.fleet())) {
            throw PeerException.rejected(PeerReject.WRONG_FLEET, "peer belongs to another fleet");
        }
        if (peer.nonce().length != NONCE_BYTES) {
            throw PeerException.rejected(PeerReject.FRAME_MALFORMED, "nonce has a wrong length");
        }
        // A peer that is dialled by its endpoint, "address:port", may have any name.
        boolean named = expectedVm != null && expectedVm.indexOf(':') < 0;
        if (named && !peer.sender().vm().equals(expectedVm)) {
            throw PeerException.rejected(PeerReject.WRONG_VM, "another VM has this address");
        }
        mPeer = peer;
    }

    PeerMessage.Proof proof() throws PeerException {
        return new PeerMessage.Proof(mac(mDialled));
    }

    void verify(PeerMessage.Proof proof) throws PeerException {
        if (!MessageDigest.isEqual(mac(!mDialled), proof.mac())) {
            throw PeerException.rejected(PeerReject.WRONG_PROOF, "peer has another secret");
        }
    }

    private byte[] mac(boolean byDialler) throws PeerException {
        PeerMessage.Hello peer = mPeer;
        if (peer == null) {
            throw PeerException.rejected(PeerReject.FRAME_UNEXPECTED, "proof before hello");
        }
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(mSecret, ALGORITHM));
            update(mac, byDialler ? "bulrushvale-peer-dialler" : "bulrushvale-peer-acceptor");
            update(mac, mDialled ? mOwn : peer);
            update(mac, mDialled ? peer : mOwn);
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new AssertionError("every Java platform has " + ALGORITHM, e);
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
        // The length separates the names, so that no two pairs of names share one MAC input.
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        mac.update(bytes);
    }
}
