//! What becomes of one answer of a data server.

use plover_model::time::Micros;

/// How an answer is spoilt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoilt {
    /// It never comes.
    Dropped,
    /// It comes twice.
    Doubled,
    /// Half of it comes, and nothing after it.
    Cut,
    /// Half of it comes, and then a reset.
    CutAndReset,
    /// Half of it comes, and then the connection's end.
    CutAndEnded,
    /// It comes so much later.
    Late(Micros),
    /// The connection is reset in its place.
    Reset,
    /// The connection ends in its place.
    Ended,
    /// Its words are noise.
    Noise,
    /// It names another part.
    OtherId,
    /// A frame without a letter comes in its place.
    NoLetter,
    /// The call is called unusable in its place, and the connection ends.
    Rejected,
    /// A frame comes in its place that goes on without end.
    Endless,
    /// A frame comes in its place that says that it is far too long.
    TooLong,
}

/// What comes after it on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum After {
    /// What is sent.
    Goes,
    /// The same, but all of it, this included, so much later.
    Waits(Micros),
    /// A reset.
    Resets,
    /// Its end.
    Ends,
    /// Nothing.
    Hushed,
    /// Bytes without end.
    Endless,
}

impl Spoilt {
    /// All ways that have no time.
    pub const ALL: [Spoilt; 13] = [
        Spoilt::Dropped,
        Spoilt::Doubled,
        Spoilt::Cut,
        Spoilt::CutAndReset,
        Spoilt::CutAndEnded,
        Spoilt::Reset,
        Spoilt::Ended,
        Spoilt::Noise,
        Spoilt::OtherId,
        Spoilt::NoLetter,
        Spoilt::Rejected,
        Spoilt::Endless,
        Spoilt::TooLong,
    ];

    /// Its word in a script.
    pub fn name(self) -> &'static str {
        match self {
            Spoilt::Dropped => "dropped",
            Spoilt::Doubled => "doubled",
            Spoilt::Cut => "cut",
            Spoilt::CutAndReset => "cut-and-reset",
            Spoilt::CutAndEnded => "cut-and-ended",
            Spoilt::Late(_) => "late",
            Spoilt::Reset => "reset",
            Spoilt::Ended => "ended",
            Spoilt::Noise => "noise",
            Spoilt::OtherId => "other-id",
            Spoilt::NoLetter => "no-letter",
            Spoilt::Rejected => "rejected",
            Spoilt::Endless => "endless",
            Spoilt::TooLong => "too-long",
        }
    }

    /// The one of this name, if that has no time.
    pub fn named(name: &str) -> Option<Spoilt> {
        Spoilt::ALL.into_iter().find(|s| s.name() == name)
    }

    /// What is passed on in place of a frame, and what follows.
    pub(crate) fn instead_of(self, frame: &[u8]) -> (Vec<u8>, After) {
        let half = || frame[..frame.len() / 2].to_vec();
        match self {
            Spoilt::Dropped => (Vec::new(), After::Goes),
            Spoilt::Doubled => ([frame, frame].concat(), After::Goes),
            Spoilt::Cut => (half(), After::Hushed),
            Spoilt::CutAndReset => (half(), After::Resets),
            Spoilt::CutAndEnded => (half(), After::Ends),
            Spoilt::Late(by) => (frame.to_vec(), After::Waits(by)),
            Spoilt::Reset => (Vec::new(), After::Resets),
            Spoilt::Ended => (Vec::new(), After::Ends),
            Spoilt::Noise => (framed(b"q\x01\x02\x03 noise\n"), After::Goes),
            Spoilt::OtherId => (framed(&renamed(&frame[4..])), After::Goes),
            Spoilt::NoLetter => (framed(b""), After::Goes),
            Spoilt::Rejected => (framed(b"rno such frame"), After::Ends),
            Spoilt::Endless => ([&1_000_000_u32.to_be_bytes()[..], b"q"].concat(), After::Endless),
            Spoilt::TooLong => (vec![0xff; 16], After::Goes),
        }
    }
}

fn framed(rest: &[u8]) -> Vec<u8> {
    [&(rest.len() as u32).to_be_bytes()[..], rest].concat()
}

/// An answer whose id, its first word, is longer by a digit.
fn renamed(answer: &[u8]) -> Vec<u8> {
    let end = answer.iter().position(|b| *b == b' ').unwrap_or(answer.len());
    [&answer[..end], b"9", &answer[end..]].concat()
}
