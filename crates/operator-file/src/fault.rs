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

/// Makes faults of places in one text.
pub(crate) struct Source<'a> {
    text: &'a str,
    named: Arc<NamedSource<String>>,
}

impl<'a> Source<'a> {
    pub(crate) fn new(name: &str, text: &'a str) -> Self {
        Source { text, named: Arc::new(NamedSource::new(name, text.to_owned())) }
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
        let before = &self.text[..at];
        let start = before.rfind('\n').map_or(0, |n| n + 1);
        (before.matches('\n').count() + 1, before[start..].chars().count() + 1)
    }
}
