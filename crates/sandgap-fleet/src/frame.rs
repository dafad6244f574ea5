//! Frames between proxies, sealed by a key that all of them share.
//!
//! A connection begins with a [`Hello`] each way: the format's version, a name and a number drawn by chance. Both
//! numbers and names go into the keys of this connection (BLAKE3 in its key-derivation and keyed modes), one for each
//! direction, and every frame's MAC covers its place in the order. So a stranger's frame, one of another connection,
//! one that was doubled, left out, cut or changed ends the connection and changes nothing. The contents are not hidden:
//! rules are no secret, and [`crate::limits`] says what a stranger can make a proxy hold.
//!
//! On the wire: `HELLO` is 4 bytes of magic, 16 of chance, a byte with the length of the name, the name. A frame is 4
//! bytes with the length of the body (big endian), a byte with the channel, the body, 16 bytes of MAC. The first frame
//! each way is short and proves the key.

use std::fmt;

use crate::limits::{BODY, NAME};

/// Names this format and its version.
const MAGIC: [u8; 4] = *b"sgf1";
/// What the keys of connections are for, as BLAKE3's derivation wants it told.
const CONTEXT: &str = "sandgap 2026-12-01 frames between proxies, version 1";
const CHANCE: usize = 16;
const HEAD: usize = 5;
const MAC: usize = 16;
/// Hexadecimal digits of a key file.
const DIGITS: usize = 64;
/// Bytes of the first frame's body: until it has come, the other side is a stranger and may fill no memory.
pub const PROOF: usize = 64;

/// What is wrong with what came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The other side speaks something else, or another version of this.
    #[error("the other side does not speak this version of the fleet's frames")]
    Version,
    /// A name that is empty, too long or no text.
    #[error("the other side's name is not 1 to {NAME} bytes of text")]
    Name,
    /// Longer than any frame.
    #[error("a frame of {0} bytes; {BODY} at most")]
    Long(usize),
    /// The MAC does not fit: another key, or a frame that is not the next one.
    #[error("a frame that the shared key did not seal, or not at this place")]
    Seal,
}

/// What is wrong with a key file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key file holds {DIGITS} hexadecimal digits and nothing else; 'openssl rand -hex 32' makes one")]
pub struct KeyError;

/// The key that all proxies of a fleet share. Whoever has it may speak as any of them.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Key(..)") // never in a log
    }
}

impl Key {
    /// A key of these bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Key(bytes)
    }

    /// Reads a key file's text.
    ///
    /// # Errors
    /// Where it is not 64 hexadecimal digits.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let text = text.trim().as_bytes();
        if text.len() != DIGITS {
            return Err(KeyError);
        }
        let mut bytes = [0; DIGITS / 2];
        for (byte, pair) in bytes.iter_mut().zip(text.chunks_exact(2)) {
            let digit = |c: u8| char::from(c).to_digit(16).ok_or(KeyError);
            *byte = (digit(pair[0])? * 16 + digit(pair[1])?) as u8;
        }
        Ok(Key(bytes))
    }
}

/// The first words of a side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Drawn anew for each connection, from the system's source of chance.
    pub chance: [u8; CHANCE],
    /// Who speaks.
    pub name: String,
}

impl Hello {
    /// The bytes on the wire.
    ///
    /// # Panics
    /// Where the name is longer than [`NAME`]; settings are checked for that.
    pub fn encode(&self) -> Vec<u8> {
        let length = u8::try_from(self.name.len()).expect("names are short");
        [&MAGIC[..], &self.chance, &[length], self.name.as_bytes()].concat()
    }

    /// Reads one from the front of `bytes`; `None` until enough has come. Returns how many bytes it took.
    ///
    /// # Errors
    /// As soon as what has come can't become one.
    pub fn decode(bytes: &[u8]) -> Result<Option<(Hello, usize)>, FrameError> {
        let magic = bytes.len().min(MAGIC.len());
        if bytes[..magic] != MAGIC[..magic] {
            return Err(FrameError::Version);
        }
        const FIXED: usize = MAGIC.len() + CHANCE + 1;
        let Some(length) = bytes.get(FIXED - 1).map(|l| usize::from(*l)) else { return Ok(None) };
        if length == 0 || length > NAME {
            return Err(FrameError::Name);
        }
        let Some(name) = bytes.get(FIXED..FIXED + length) else { return Ok(None) };
        let name = std::str::from_utf8(name).map_err(|_| FrameError::Name)?.to_owned();
        let mut chance = [0; CHANCE];
        chance.copy_from_slice(&bytes[MAGIC.len()..][..CHANCE]);
        Ok(Some((Hello { chance, name }, FIXED + length)))
    }
}

/// The two directions of a connection, from the side that dialled.
fn keys(key: &Key, dialled: &Hello, accepted: &Hello) -> ([u8; 32], [u8; 32]) {
    let mut material = key.0.to_vec();
    material.extend(dialled.encode());
    material.extend(accepted.encode());
    let root = blake3::derive_key(CONTEXT, &material);
    let direction = |name: &[u8]| *blake3::keyed_hash(&root, name).as_bytes();
    (direction(b"from the one that dialled"), direction(b"to the one that dialled"))
}

/// Which side of a connection this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// It connected.
    Dialled,
    /// It was connected to.
    Accepted,
}

/// What seals and opens the frames of one connection, once both hellos are known.
pub fn session(key: &Key, side: Side, own: &Hello, other: &Hello) -> (Sealer, Opener) {
    let (out, back) = match side {
        Side::Dialled => keys(key, own, other),
        Side::Accepted => {
            let (out, back) = keys(key, other, own);
            (back, out)
        }
    };
    (
        Sealer { key: out, number: 0 },
        Opener { key: back, number: 0, bytes: Vec::new(), begin: 0, most: PROOF },
    )
}

fn mac(key: &[u8; 32], number: u64, head: &[u8], body: &[u8]) -> blake3::Hash {
    blake3::Hasher::new_keyed(key).update(&number.to_le_bytes()).update(head).update(body).finalize()
}

/// Seals frames, in order.
pub struct Sealer {
    key: [u8; 32],
    number: u64,
}

impl Sealer {
    /// Appends a sealed frame to `out`.
    ///
    /// # Errors
    /// Where the body is longer than [`BODY`]; nothing has been appended then.
    pub fn seal(&mut self, channel: u8, body: &[u8], out: &mut Vec<u8>) -> Result<(), FrameError> {
        if body.len() > BODY {
            return Err(FrameError::Long(body.len()));
        }
        let mut head = [0; HEAD];
        head[..4].copy_from_slice(&(body.len() as u32).to_be_bytes());
        head[4] = channel;
        let seal = mac(&self.key, self.number, &head, body);
        self.number += 1;
        out.extend(head);
        out.extend(body);
        out.extend(&seal.as_bytes()[..MAC]);
        Ok(())
    }
}

/// Opens frames, in order. After an error the connection is over.
pub struct Opener {
    key: [u8; 32],
    number: u64,
    bytes: Vec<u8>,
    /// Where the next frame begins in `bytes`.
    begin: usize,
    /// Bytes of a body at present.
    most: usize,
}

impl Opener {
    /// Takes in what has come.
    pub fn take(&mut self, bytes: &[u8]) {
        if self.begin > 0 {
            self.bytes.drain(..self.begin);
            self.begin = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole frame: its channel and its body. `None` until one has come.
    ///
    /// # Errors
    /// Where it is too long, told by its head alone, or its seal does not fit.
    pub fn next_frame(&mut self) -> Result<Option<(u8, &[u8])>, FrameError> {
        let rest = &self.bytes[self.begin..];
        let Some(head) = rest.get(..HEAD) else { return Ok(None) };
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        if length > self.most {
            return Err(FrameError::Long(length));
        }
        let Some(frame) = rest.get(..HEAD + length + MAC) else { return Ok(None) };
        let (body, seal) = frame[HEAD..].split_at(length);
        let wanted = mac(&self.key, self.number, head, body);
        // Compared in a time that does not tell how much of it fits: both sides are hashed again under the key.
        let blind = |bytes: &[u8]| blake3::keyed_hash(&self.key, bytes);
        if blind(seal) != blind(&wanted.as_bytes()[..MAC]) {
            return Err(FrameError::Seal);
        }
        self.number += 1;
        self.most = BODY;
        let channel = head[4];
        let start = self.begin + HEAD;
        self.begin = start + length + MAC;
        Ok(Some((channel, &self.bytes[start..start + length])))
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn hello(chance: u8, name: &str) -> Hello {
        Hello { chance: [chance; CHANCE], name: name.into() }
    }

    fn pair() -> (Sealer, Opener) {
        let key = Key::new([3; 32]);
        let (a, b) = (hello(1, "a"), hello(2, "b"));
        (session(&key, Side::Dialled, &a, &b).0, session(&key, Side::Accepted, &b, &a).1)
    }

    fn sealed(sealer: &mut Sealer, bodies: &[&[u8]]) -> Vec<u8> {
        let mut out = Vec::new();
        bodies.iter().for_each(|b| sealer.seal(9, b, &mut out).expect("short"));
        out
    }

    #[test]
    fn frames_come_out_as_they_went_in_however_they_are_cut() {
        let (mut sealer, mut opener) = pair();
        let wire = sealed(&mut sealer, &[b"one", b"", &[7; 5000]]);
        let mut got = Vec::new();
        for piece in wire.chunks(7) {
            opener.take(piece);
            while let Some((channel, body)) = opener.next_frame().expect("sealed") {
                got.push((channel, body.to_vec()));
            }
        }
        assert_eq!(got, [(9, b"one".to_vec()), (9, vec![]), (9, vec![7; 5000])]);
    }

    #[test]
    fn another_key_connection_or_direction_opens_nothing() {
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
            opener.take(&sealed(&mut sealer, &[b"word"]));
            assert_eq!(opener.next_frame(), Err(FrameError::Seal));
        }
    }

    #[test]
    fn doubled_left_out_and_swapped_frames_are_found() {
        let one = |n: usize| {
            let (mut sealer, _) = pair();
            (0..=n).map(|_| sealed(&mut sealer, &[b"same"])).next_back().expect("one")
        };
        for order in [[0, 0], [1, 0], [0, 2]] {
            let (_, mut opener) = pair();
            order.iter().for_each(|n| opener.take(&one(*n)));
            let first = opener.next_frame().map(|f| f.is_some());
            let second = if first == Ok(true) { opener.next_frame().map(|f| f.is_some()) } else { first };
            assert_eq!(second, Err(FrameError::Seal), "{order:?}");
        }
    }

    #[test]
    fn a_length_beyond_all_is_told_by_the_head_alone() {
        let (_, mut opener) = pair();
        opener.take(&[0xff, 0xff, 0xff, 0xff, 0]);
        assert_eq!(opener.next_frame(), Err(FrameError::Long(u32::MAX as usize)));
        let (mut sealer, _) = pair();
        let mut out = Vec::new();
        assert!(sealer.seal(0, &vec![0; BODY + 1], &mut out).is_err() && out.is_empty());
    }

    #[test]
    fn a_stranger_may_send_no_more_than_a_proof() {
        let (mut sealer, mut opener) = pair();
        opener.take(&sealed(&mut sealer, &[&[1; PROOF + 1]]));
        assert_eq!(opener.next_frame(), Err(FrameError::Long(PROOF + 1)));
    }

    #[test]
    fn hellos_are_read_in_pieces_and_strangers_refused_early() {
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
    fn key_files_are_digits_alone() {
        assert_eq!(Key::parse(&format!("{}\n", "0f".repeat(32))).expect("good").0, [15; 32]);
        for bad in ["", "0f", &"0g".repeat(32), &"0f".repeat(33)] {
            assert_eq!(Key::parse(bad).map(drop), Err(KeyError), "{bad}");
        }
    }

    proptest! {
        /// Whatever one byte of the stream becomes, no frame that was not sent is taken for one.
        #[test]
        fn a_changed_byte_is_never_taken_for_a_frame(at in 0usize..60, with in 1u8..=255) {
            let (mut sealer, mut opener) = pair();
            let mut wire = sealed(&mut sealer, &[b"first", b"second"]);
            let at = at % wire.len();
            wire[at] ^= with;
            opener.take(&wire);
            let mut got = Vec::new();
            while let Ok(Some((_, body))) = opener.next_frame() {
                got.push(body.to_vec());
            }
            prop_assert!(got.len() < 2);
            prop_assert!(got.iter().all(|b| b == b"first"));
        }
    }
}
