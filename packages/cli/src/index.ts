/** galenavalve: the command-line tool. */
export {};
