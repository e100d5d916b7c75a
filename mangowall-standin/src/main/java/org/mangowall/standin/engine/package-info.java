/** A stand-in for a model engine with the chat-completions API. */
package org.mangowall.standin.engine;
