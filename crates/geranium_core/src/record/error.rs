//! Errors of parsing records.

use quick_error::quick_error;

use super::FieldViolations;

quick_error! {
    /// Error of parsing a record or its key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RecordError {
        /// The text is not JSON.
        NotJson(line: usize, column: usize, detail: String) {
            display("document is not valid JSON at line {}, column {}: {}", line, column, detail)
        }
        /// An object of the document contains the same field twice.
        DuplicateField(name: String, line: usize) {
            display("field {:?} is given a second time at line {}; each field may be given once", name, line)
        }
        /// The document exceeds the size limit.
        TooLarge(size: usize, limit: usize) {
            display("document has {} bytes; the limit is {} bytes", size, limit)
        }
        /// Fields of the document are not valid; every violation is listed.
        Invalid(violations: FieldViolations) {
            display("{}", violations)
        }
        /// The record kind does not exist.
        UnknownKind(text: String) {
            display("record kind {:?} does not exist; valid: account, drain, model, service", text)
        }
        /// The text is not a record key.
        InvalidKey(text: String) {
            display("{:?} is not a record key; valid: KIND/NAME", text)
        }
        /// A value in the platform's store is not a valid stored record.
        MalformedValue(key: String, detail: String) {
            display("store value of {:?} is not a valid record: {}", key, detail)
        }
    }
}
