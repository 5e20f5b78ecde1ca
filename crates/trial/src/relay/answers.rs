//! The answers of a data server on one connection, frame by frame, so that one of them can be spoilt.

use crate::spoilt::{After, Spoilt};
use std::borrow::Cow;
use std::sync::{Mutex, PoisonError};

/// The letter of an answer to a part.
const ANSWER: u8 = b'q';

/// Follows the frames that pass.
pub(super) struct Answers<'a> {
    /// What becomes of the next answer, whatever its connection.
    spoilt: &'a Mutex<Option<Spoilt>>,
    /// The frame that is not all there, and how much of it has been passed on.
    open: Vec<u8>,
    passed: usize,
}

impl<'a> Answers<'a> {
    pub(super) fn new(spoilt: &'a Mutex<Option<Spoilt>>) -> Self {
        Answers { spoilt, open: Vec::new(), passed: 0 }
    }

    /// What is passed on of these bytes, and what follows. Where an answer is to be spoilt, frames pass whole.
    pub(super) fn pass(&mut self, bytes: &[u8]) -> (Cow<'static, [u8]>, After) {
        self.open.extend_from_slice(bytes);
        let mut out = Vec::with_capacity(bytes.len());
        let mut after = After::Goes;
        while let Some(length) = length(&self.open) {
            let frame: Vec<u8> = self.open.drain(..length).collect();
            let spoilt = (self.passed == 0 && frame.get(4) == Some(&ANSWER)).then(|| self.take()).flatten();
            match spoilt {
                None => out.extend(&frame[self.passed..]),
                Some(spoilt) => {
                    let (bytes, then) = spoilt.instead_of(&frame);
                    out.extend(bytes);
                    after = then;
                }
            }
            self.passed = 0;
            if after != After::Goes && !matches!(after, After::Waits(_)) {
                return (out.into(), after);
            }
        }
        let waits = self.spoilt.lock().unwrap_or_else(PoisonError::into_inner).is_some();
        if !waits || self.passed > 0 {
            out.extend(&self.open[self.passed..]);
            self.passed = self.open.len();
        }
        (out.into(), after)
    }

    fn take(&self) -> Option<Spoilt> {
        self.spoilt.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// The length of the first frame, if it is all there.
fn length(bytes: &[u8]) -> Option<usize> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let length = u32::from_be_bytes(*length) as usize;
    (rest.len() >= length).then_some(4 + length)
}
