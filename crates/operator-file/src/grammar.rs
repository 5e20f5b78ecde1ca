//! The grammar: lines of words. What the words mean is not known here.

use std::ops::Range;
use winnow::ascii::{line_ending, space0, till_line_ending};
use winnow::combinator::{alt, eof, opt, preceded, repeat, terminated};
use winnow::error::EmptyError;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::take_while;
use winnow::{Parser, Result};

type Input<'a> = LocatingSlice<&'a str>;

/// A word and its place in the text, in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// Its letters.
    pub text: String,
    /// Its bytes in the text.
    pub span: Range<usize>,
}

/// A line that says something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// The first word.
    pub keyword: Word,
    /// The words after it.
    pub arguments: Vec<Word>,
}

/// The lines of a text that hold more than blanks and comments. Any text is lines of words: a byte that belongs in
/// none is part of a word, and is found fault with when that is read.
pub fn lines(text: &str) -> Vec<Line> {
    let mut input = LocatingSlice::new(text);
    let mut lines = Vec::new();
    while !input.is_empty() {
        let words = match line(&mut input) {
            Ok(words) => words,
            // Every line is taken: its words end where it does.
            Err(EmptyError) => break,
        };
        let mut words = words.into_iter();
        if let Some(keyword) = words.next() {
            lines.push(Line { keyword, arguments: words.collect() });
        }
    }
    lines
}

fn line(input: &mut Input<'_>) -> Result<Vec<Word>, EmptyError> {
    let words = repeat(0.., preceded(space0, word));
    let comment = preceded('#', till_line_ending);
    terminated(words, (space0, opt(comment), alt((line_ending, eof, "\r")))).parse_next(input)
}

fn word(input: &mut Input<'_>) -> Result<Word, EmptyError> {
    let start = input.current_token_start();
    let text: &str =
        take_while(1.., |c: char| !matches!(c, ' ' | '\t' | '\r' | '\n' | '#')).parse_next(input)?;
    Ok(Word { text: text.to_owned(), span: start..start + text.len() })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_keep_their_places() {
        let text = "# all of it\n\n a  b\tc # d\r\ne#f";
        let seen: Vec<(String, Vec<String>)> = lines(text)
            .into_iter()
            .map(|l| (text[l.keyword.span].to_owned(), l.arguments.into_iter().map(|a| a.text).collect()))
            .collect();
        assert_eq!(seen, [("a".into(), vec!["b".into(), "c".into()]), ("e".into(), vec![])]);
    }
}
