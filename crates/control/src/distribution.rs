//! Form in which nodes receive the configuration.

use std::borrow::Cow;

use quick_error::quick_error;

quick_error! {
    /// Failure to rewrite a document for distribution. The texts contain nothing of the document,
    /// which may hold secrets.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum RewriteError {
        /// The document is malformed at this position.
        Malformed(line: usize, column: usize) {
            display("the document is malformed at line {} column {}", line, column)
        }
    }
}

/// Rewrites a document as the operator sent it to the form that nodes receive, which contains no
/// secret. Called once per version and replica.
pub type DocumentRewriter = fn(&[u8]) -> Result<Cow<'_, [u8]>, RewriteError>;

/// Returns the document unchanged.
///
/// # Errors
///
/// Never returns an error.
pub fn distribute_unchanged(text: &[u8]) -> Result<Cow<'_, [u8]>, RewriteError> {
    Ok(Cow::Borrowed(text))
}
