//! Who may command a backend server.
