//! Failures of reading records.

use quick_error::quick_error;

use super::FieldViolations;

quick_error! {
    /// Failure of reading a record or its key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RecordError {
        /// The text is not JSON.
        NotJson(line: usize, column: usize, detail: String) {
            display("document is not valid JSON at line {}, column {}: {}", line, column, detail)
        }
        /// An object of the document names a field twice.
        DuplicateField(name: String, line: usize) {
            display("field {:?} is given twice, again at line {}; valid: once", name, line)
        }
        /// The document is larger than a record may be.
        TooLarge(size: usize, limit: usize) {
            display("document has {} bytes; at most {} are valid", size, limit)
        }
        /// Fields of the document are not valid; every violation is listed.
        Invalid(violations: FieldViolations) {
            display("{}", violations)
        }
        /// The kind of record does not exist.
        UnknownKind(text: String) {
            display("record kind {:?} does not exist; valid: account, drain, model, service", text)
        }
        /// The text is not the key of a record.
        InvalidKey(text: String) {
            display("{:?} is not the key of a record; valid: KIND/NAME", text)
        }
        /// A value of the platform's store is not a stored record.
        MalformedValue(key: String, detail: String) {
            display("value of {:?} is not a stored record: {}", key, detail)
        }
    }
}
