//! Frames between proxies, authenticated with a key that all of them share.
//!
//! A connection begins with a [`Hello`] in each direction: the format version, a name and a random nonce. Nonces and names
//! of both sides go into the connection's keys (BLAKE3 in its key-derivation and keyed modes), one for each direction, and
//! every frame's MAC covers its sequence number. A frame that is forged, comes from another connection, or is repeated,
//! missing, truncated or changed therefore ends the connection and has no other effect. The contents are not encrypted:
//! rules are not secret. [`crate::limits`] bounds what an unauthenticated peer can make a proxy store.
//!
//! On the wire: `HELLO` is 4 bytes of magic, a 16-byte nonce, one byte with the length of the name, and the name. A frame is
//! 4 bytes with the length of the body (big endian), one byte with the channel, the body, and a 16-byte MAC. The first
//! frame in each direction is short and proves the key.

use std::fmt;

use crate::limits::{MAX_BODY_BYTES, MAX_NAME_BYTES};

/// Identifies this format and its version.
const MAGIC: [u8; 4] = *b"sgf1";
/// Context string of BLAKE3's key derivation for connection keys.
const KEY_CONTEXT: &str = "sandgap 2026-12-01 frames between proxies, version 1";
const NONCE_BYTES: usize = 16;
const HEADER_BYTES: usize = 5;
const MAC_BYTES: usize = 16;
/// Hexadecimal digits of a key file.
const KEY_DIGITS: usize = 64;
/// Maximum bytes of the first frame's body: until it arrives, the peer is unauthenticated and must not fill memory.
pub const MAX_PROOF_BYTES: usize = 64;

/// Error in received data, or in a frame to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The peer uses another protocol or another version of this one.
    #[error("the peer does not use this version of the fleet's frame protocol")]
    Version,
    /// The name is empty, too long or not UTF-8.
    #[error("the peer's name is not 1 to {MAX_NAME_BYTES} bytes of UTF-8 text")]
    Name,
    /// The body exceeds the maximum length.
    #[error("the frame body has {0} bytes; {MAX_BODY_BYTES} at most are allowed")]
    Long(usize),
    /// The MAC does not match: another key, or a frame out of sequence.
    #[error("the frame's MAC does not match the shared key and the frame's sequence number")]
    Seal,
}

/// A key file is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "a key file holds {KEY_DIGITS} hexadecimal digits and nothing else; 'openssl rand -hex 32' makes one"
)]
pub struct KeyError;

/// The key that all proxies of a fleet share. Any holder of the key can impersonate any of them.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Key(..)") // keeps the key out of logs
    }
}

impl Key {
    /// A key from its bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Key(bytes)
    }

    /// Parses the text of a key file.
    ///
    /// # Errors
    /// If it is not 64 hexadecimal digits.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let text = text.trim().as_bytes();
        if text.len() != KEY_DIGITS {
            return Err(KeyError);
        }
        let mut bytes = [0; KEY_DIGITS / 2];
        for (byte, pair) in bytes.iter_mut().zip(text.chunks_exact(2)) {
            let digit = |c: u8| char::from(c).to_digit(16).ok_or(KeyError);
            *byte = (digit(pair[0])? * 16 + digit(pair[1])?) as u8;
        }
        Ok(Key(bytes))
    }
}

/// The first message of each side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Fresh for each connection, from the system's random source.
    pub nonce: [u8; NONCE_BYTES],
    /// The sender's name.
    pub name: String,
}

impl Hello {
    /// Encodes the wire format.
    ///
    /// # Panics
    /// If the name is longer than 255 bytes; settings limit it to [`MAX_NAME_BYTES`].
    pub fn encode(&self) -> Vec<u8> {
        let length = u8::try_from(self.name.len()).expect("names are short");
        [&MAGIC[..], &self.nonce, &[length], self.name.as_bytes()].concat()
    }

    /// Decodes a hello at the start of `bytes` and returns it with its length; `None` if it is incomplete.
    ///
    /// # Errors
    /// As soon as the bytes can't be the start of a hello.
    pub fn decode(bytes: &[u8]) -> Result<Option<(Hello, usize)>, FrameError> {
        let magic_len = bytes.len().min(MAGIC.len());
        if bytes[..magic_len] != MAGIC[..magic_len] {
            return Err(FrameError::Version);
        }
        const FIXED_BYTES: usize = MAGIC.len() + NONCE_BYTES + 1;
        let Some(length) = bytes.get(FIXED_BYTES - 1).map(|l| usize::from(*l)) else { return Ok(None) };
        if length == 0 || length > MAX_NAME_BYTES {
            return Err(FrameError::Name);
        }
        let Some(name) = bytes.get(FIXED_BYTES..FIXED_BYTES + length) else { return Ok(None) };
        let name = std::str::from_utf8(name).map_err(|_| FrameError::Name)?.to_owned();
        let mut nonce = [0; NONCE_BYTES];
        nonce.copy_from_slice(&bytes[MAGIC.len()..][..NONCE_BYTES]);
        Ok(Some((Hello { nonce, name }, FIXED_BYTES + length)))
    }
}

/// The keys of both directions of a connection: from the dialling side, and to it.
fn direction_keys(key: &Key, dialled: &Hello, accepted: &Hello) -> ([u8; 32], [u8; 32]) {
    let mut material = key.0.to_vec();
    material.extend(dialled.encode());
    material.extend(accepted.encode());
    let root = blake3::derive_key(KEY_CONTEXT, &material);
    let direction = |name: &[u8]| *blake3::keyed_hash(&root, name).as_bytes();
    (direction(b"from the one that dialled"), direction(b"to the one that dialled"))
}

/// Which side of a connection this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// It opened the connection.
    Dialled,
    /// It accepted the connection.
    Accepted,
}

/// Creates the sealer and the opener of a connection from both hellos.
pub fn session(key: &Key, side: Side, own: &Hello, other: &Hello) -> (Sealer, Opener) {
    let (send_key, receive_key) = match side {
        Side::Dialled => direction_keys(key, own, other),
        Side::Accepted => {
            let (send_key, receive_key) = direction_keys(key, other, own);
            (receive_key, send_key)
        }
    };
    (
        Sealer { key: send_key, sequence_number: 0 },
        Opener {
            key: receive_key,
            sequence_number: 0,
            bytes: Vec::new(),
            frame_start: 0,
            max_body: MAX_PROOF_BYTES,
        },
    )
}

fn mac(key: &[u8; 32], sequence_number: u64, header: &[u8], body: &[u8]) -> blake3::Hash {
    blake3::Hasher::new_keyed(key)
        .update(&sequence_number.to_le_bytes())
        .update(header)
        .update(body)
        .finalize()
}

/// Authenticates outgoing frames in sequence.
pub struct Sealer {
    key: [u8; 32],
    sequence_number: u64,
}

impl Sealer {
    /// Appends a frame with its MAC to `out`.
    ///
    /// # Errors
    /// If the body is longer than [`MAX_BODY_BYTES`]; nothing is appended then.
    pub fn seal(&mut self, channel: u8, body: &[u8], out: &mut Vec<u8>) -> Result<(), FrameError> {
        if body.len() > MAX_BODY_BYTES {
            return Err(FrameError::Long(body.len()));
        }
        let mut header = [0; HEADER_BYTES];
        header[..4].copy_from_slice(&(body.len() as u32).to_be_bytes());
        header[4] = channel;
        let tag = mac(&self.key, self.sequence_number, &header, body);
        self.sequence_number += 1;
        out.extend(header);
        out.extend(body);
        out.extend(&tag.as_bytes()[..MAC_BYTES]);
        Ok(())
    }
}

/// Verifies and decodes incoming frames in sequence. After an error the connection must be closed.
pub struct Opener {
    key: [u8; 32],
    sequence_number: u64,
    bytes: Vec<u8>,
    /// Offset of the next frame in `bytes`.
    frame_start: usize,
    /// Maximum bytes of the next body.
    max_body: usize,
}

impl Opener {
    /// Appends received bytes.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        if self.frame_start > 0 {
            self.bytes.drain(..self.frame_start);
            self.frame_start = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The next frame's channel and body; `None` if it is incomplete.
    ///
    /// # Errors
    /// If the length in its header is too large, or its MAC does not match.
    pub fn next_frame(&mut self) -> Result<Option<(u8, &[u8])>, FrameError> {
        let rest = &self.bytes[self.frame_start..];
        let Some(header) = rest.get(..HEADER_BYTES) else { return Ok(None) };
        let length = u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize;
        if length > self.max_body {
            return Err(FrameError::Long(length));
        }
        let Some(frame) = rest.get(..HEADER_BYTES + length + MAC_BYTES) else { return Ok(None) };
        let (body, received_mac) = frame[HEADER_BYTES..].split_at(length);
        let expected = mac(&self.key, self.sequence_number, header, body);
        // Hashing both MACs again under the key makes the comparison's duration independent of how many bytes match.
        let keyed_hash = |bytes: &[u8]| blake3::keyed_hash(&self.key, bytes);
        if keyed_hash(received_mac) != keyed_hash(&expected.as_bytes()[..MAC_BYTES]) {
            return Err(FrameError::Seal);
        }
        self.sequence_number += 1;
        self.max_body = MAX_BODY_BYTES;
        let channel = header[4];
        let start = self.frame_start + HEADER_BYTES;
        self.frame_start = start + length + MAC_BYTES;
        Ok(Some((channel, &self.bytes[start..start + length])))
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn hello(nonce: u8, name: &str) -> Hello {
        Hello { nonce: [nonce; NONCE_BYTES], name: name.into() }
    }

    fn pair() -> (Sealer, Opener) {
        let key = Key::new([3; 32]);
        let (a, b) = (hello(1, "a"), hello(2, "b"));
        (session(&key, Side::Dialled, &a, &b).0, session(&key, Side::Accepted, &b, &a).1)
    }

    fn seal_all(sealer: &mut Sealer, bodies: &[&[u8]]) -> Vec<u8> {
        let mut out = Vec::new();
        bodies.iter().for_each(|b| sealer.seal(9, b, &mut out).expect("short"));
        out
    }

    #[test]
    fn frames_are_decoded_from_any_chunks() {
        let (mut sealer, mut opener) = pair();
        let wire = seal_all(&mut sealer, &[b"one", b"", &[7; 5000]]);
        let mut got = Vec::new();
        for chunk in wire.chunks(7) {
            opener.push_bytes(chunk);
            while let Some((channel, body)) = opener.next_frame().expect("sealed") {
                got.push((channel, body.to_vec()));
            }
        }
        assert_eq!(got, [(9, b"one".to_vec()), (9, vec![]), (9, vec![7; 5000])]);
    }

    #[test]
    fn frames_of_another_key_connection_or_direction_are_rejected() {
        let (a, b, c) = (hello(1, "a"), hello(2, "b"), hello(9, "b"));
        let key = Key::new([3; 32]);
        let openers = [
            session(&Key::new([4; 32]), Side::Accepted, &b, &a).1,
            session(&key, Side::Accepted, &c, &a).1,
            session(&key, Side::Accepted, &hello(2, "x"), &a).1,
            session(&key, Side::Dialled, &a, &b).1,
        ];
        for mut opener in openers {
            let (mut sealer, _) = session(&key, Side::Dialled, &a, &b);
            opener.push_bytes(&seal_all(&mut sealer, &[b"data"]));
            assert_eq!(opener.next_frame(), Err(FrameError::Seal));
        }
    }

    #[test]
    fn repeated_missing_and_reordered_frames_are_rejected() {
        let one = |n: usize| {
            let (mut sealer, _) = pair();
            (0..=n).map(|_| seal_all(&mut sealer, &[b"same"])).next_back().expect("one")
        };
        for order in [[0, 0], [1, 0], [0, 2]] {
            let (_, mut opener) = pair();
            order.iter().for_each(|n| opener.push_bytes(&one(*n)));
            let first = opener.next_frame().map(|f| f.is_some());
            let second = if first == Ok(true) { opener.next_frame().map(|f| f.is_some()) } else { first };
            assert_eq!(second, Err(FrameError::Seal), "{order:?}");
        }
    }

    #[test]
    fn an_excessive_length_is_rejected_from_the_header_alone() {
        let (_, mut opener) = pair();
        opener.push_bytes(&[0xff, 0xff, 0xff, 0xff, 0]);
        assert_eq!(opener.next_frame(), Err(FrameError::Long(u32::MAX as usize)));
        let (mut sealer, _) = pair();
        let mut out = Vec::new();
        assert!(sealer.seal(0, &vec![0; MAX_BODY_BYTES + 1], &mut out).is_err() && out.is_empty());
    }

    #[test]
    fn an_unauthenticated_peer_may_send_no_more_than_a_proof() {
        let (mut sealer, mut opener) = pair();
        opener.push_bytes(&seal_all(&mut sealer, &[&[1; MAX_PROOF_BYTES + 1]]));
        assert_eq!(opener.next_frame(), Err(FrameError::Long(MAX_PROOF_BYTES + 1)));
    }

    #[test]
    fn hellos_are_decoded_in_pieces_and_invalid_ones_rejected_early() {
        let wire = hello(5, "gate-1").encode();
        for cut in 0..wire.len() {
            assert_eq!(Hello::decode(&wire[..cut]), Ok(None), "{cut}");
        }
        let more = [&wire[..], b"rest"].concat();
        assert_eq!(Hello::decode(&more), Ok(Some((hello(5, "gate-1"), wire.len()))));
        assert_eq!(Hello::decode(b"GET"), Err(FrameError::Version));
        let mut long = wire.clone();
        long[20] = 200;
        assert_eq!(Hello::decode(&long), Err(FrameError::Name));
    }

    #[test]
    fn key_files_hold_only_digits() {
        assert_eq!(Key::parse(&format!("{}\n", "0f".repeat(32))).expect("good").0, [15; 32]);
        for bad in ["", "0f", &"0g".repeat(32), &"0f".repeat(33)] {
            assert_eq!(Key::parse(bad).map(drop), Err(KeyError), "{bad}");
        }
    }

    proptest! {
        /// If any byte of the stream changes, no frame that was not sent is accepted.
        #[test]
        fn a_stream_with_a_changed_byte_yields_no_forged_frame(at in 0usize..60, with in 1u8..=255) {
            let (mut sealer, mut opener) = pair();
            let mut wire = seal_all(&mut sealer, &[b"first", b"second"]);
            let at = at % wire.len();
            wire[at] ^= with;
            opener.push_bytes(&wire);
            let mut got = Vec::new();
            while let Ok(Some((_, body))) = opener.next_frame() {
                got.push(body.to_vec());
            }
            prop_assert!(got.len() < 2);
            prop_assert!(got.iter().all(|b| b == b"first"));
        }
    }
}
