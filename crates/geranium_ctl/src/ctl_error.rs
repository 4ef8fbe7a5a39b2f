//! Failures of the command-line tool.

use geranium_operator::OperatorError;
use geranium_settings::SettingsError;
use quick_error::quick_error;

quick_error! {
    /// Failure of the command-line tool.
    #[derive(Debug)]
    pub enum CtlError {
        /// The settings are not valid.
        Settings(err: SettingsError) {
            display("{}", err)
            source(err)
            from()
        }
        /// The arguments are not valid.
        Usage(detail: String) {
            display("{}; see geraniumctl --help", detail)
        }
        /// A file cannot be read or written.
        File(path: String, err: std::io::Error) {
            display("cannot use file {:?}: {}", path, err)
            source(err)
        }
        /// A document is not JSON or lacks its kind or name.
        Document(path: String, detail: String) {
            display("{:?} is not a record: {}", path, detail)
        }
        /// An operator call failed.
        Operator(err: OperatorError) {
            display("{}", error_text(err))
            source(err)
            from()
        }
        /// No entry host answered.
        NoHost(tried: String) {
            display("no entry host answered: {}", tried)
        }
        /// The output cannot be rendered.
        Output(detail: String) {
            display("cannot render the output: {}", detail)
        }
        /// The runtime cannot start.
        Runtime(err: std::io::Error) {
            display("cannot start the runtime: {}", err)
            source(err)
        }
    }
}

fn error_text(e: &OperatorError) -> String {
    let mut text = e.to_string();
    if let OperatorError::Refused(_, e) = e {
        for fault in &e.faults {
            text.push_str("\n  ");
            text.push_str(fault);
        }
    }
    text
}
