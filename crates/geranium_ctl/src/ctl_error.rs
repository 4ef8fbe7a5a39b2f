//! Errors of the command-line tool.

use geranium_operator::OperatorError;
use geranium_settings::SettingsError;
use quick_error::quick_error;

quick_error! {
    /// Error of the command-line tool.
    #[derive(Debug)]
    pub enum CtlError {
        /// The settings are invalid.
        Settings(err: SettingsError) {
            display("{}", err)
            source(err)
            from()
        }
        /// The arguments are invalid.
        Usage(detail: String) {
            display("{}; see geraniumctl --help", detail)
        }
        /// A file could not be read or written.
        File(path: String, err: std::io::Error) {
            display("cannot read or write {:?}: {}", path, err)
            source(err)
        }
        /// A document is not JSON, lacks its kind or name, or has an invalid one.
        Document(path: String, detail: String) {
            display("{:?} is not a record: {}", path, detail)
        }
        /// An operator call failed.
        Operator(err: OperatorError) {
            display("{}", error_text(err))
            source(err)
            from()
        }
        /// No entry host could be reached.
        NoHost(tried: String) {
            display("no entry host answered: {}", tried)
        }
        /// The entry host is of a version that does not state its room.
        RoomNotStated {
            display("the entry host is too old to state its room")
        }
        /// The output could not be rendered.
        Output(detail: String) {
            display("cannot render the output: {}", detail)
        }
        /// The async runtime could not be started.
        Runtime(err: std::io::Error) {
            display("cannot start the async runtime: {}", err)
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
