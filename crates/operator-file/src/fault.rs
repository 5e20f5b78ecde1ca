//! What is wrong with a file, and where.

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};
use std::fmt;
use std::ops::Range;
use std::sync::Arc;

/// One fault.
#[derive(Clone, Debug)]
pub struct Fault {
    pub(crate) source: Arc<NamedSource<String>>,
    /// The word at fault, in bytes of the text.
    pub span: Range<usize>,
    /// Line of the word, from 1.
    pub line: usize,
    /// Column of the word, in characters from 1.
    pub column: usize,
    /// What is wrong; it names the word.
    pub what: String,
    /// What would be right.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.source.name(), self.line, self.column, self.what)?;
        if self.expected.is_empty() { Ok(()) } else { write!(f, "; {}", self.expected) }
    }
}

impl std::error::Error for Fault {}

impl Diagnostic for Fault {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        (!self.expected.is_empty()).then(|| Box::new(&self.expected) as Box<dyn fmt::Display>)
    }
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }
    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = LabeledSpan::new(Some("here".to_owned()), self.span.start, self.span.len());
        Some(Box::new(std::iter::once(label)))
    }
}

/// Everything that is wrong with a file, in the order of its lines. Printed, it is one line a fault.
#[derive(Clone, Debug)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, fault) in self.0.iter().enumerate() {
            let end = if n + 1 < self.0.len() { "\n" } else { "" };
            write!(f, "{fault}{end}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

impl Faults {
    /// Faults that were found in a file's text by somebody else: the word's bytes, what is wrong, what would be right.
    pub fn found(
        name: &str,
        text: &str,
        all: impl IntoIterator<Item = (Range<usize>, String, String)>,
    ) -> Faults {
        let source = Source::new(name, text);
        Faults(all.into_iter().map(|(span, what, expected)| source.fault(&span, what, expected)).collect())
    }
}

/// Makes faults of places in one text.
pub(crate) struct Source<'a> {
    text: &'a str,
    /// The byte on which each line begins.
    lines: Vec<usize>,
    named: Arc<NamedSource<String>>,
}

impl<'a> Source<'a> {
    pub(crate) fn new(name: &str, text: &'a str) -> Self {
        let lines = std::iter::once(0).chain(text.match_indices('\n').map(|(n, _)| n + 1)).collect();
        Source { text, lines, named: Arc::new(NamedSource::new(name, text.to_owned())) }
    }

    pub(crate) fn fault(
        &self,
        span: &Range<usize>,
        what: impl Into<String>,
        expected: impl Into<String>,
    ) -> Fault {
        let (line, column) = self.place(span.start);
        Fault {
            source: self.named.clone(),
            span: span.clone(),
            line,
            column,
            what: what.into(),
            expected: expected.into(),
        }
    }

    /// Line and column of a byte, from 1.
    pub(crate) fn place(&self, at: usize) -> (usize, usize) {
        let line = self.lines.partition_point(|start| *start <= at);
        let start = line.checked_sub(1).and_then(|n| self.lines.get(n)).copied().unwrap_or(0);
        (line, self.text[start..at].chars().count() + 1)
    }
}
