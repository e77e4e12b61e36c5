// Roarr reads this variable once when it is loaded and drops all messages if it isn't set. Whether
// anything is logged is decided by the settings.
process.env["ROARR_LOG"] = "true";

export {};
